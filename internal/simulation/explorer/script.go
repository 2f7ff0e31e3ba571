package explorer

// script is a list of steps in the making, for openings.
type script []Step

// rounds lets so many ticks pass, in which all arrives that is not held back.
func (s script) rounds(count int) script {
	for range count {
		s = append(s, Step{Do: Round, With: WithAll})
	}
	return s
}

// does has each of some machines do one thing.
func (s script) does(do Action, nodes ...string) script {
	for _, node := range nodes {
		s = append(s, Step{Do: do, Node: node})
	}
	return s
}

// cuts cuts a machine off, both ways, in or out; heals ends that.
func (s script) cuts(node, way string) script {
	return append(s, Step{Do: Cut, Node: node, With: way})
}

func (s script) heals() script { return append(s, Step{Do: Heal}) }

// flushes frees all that is held back from one machine to others.
func (s script) flushes(from string, nodes ...string) script {
	for _, node := range nodes {
		s = append(s, Step{Do: Flush, From: from, Node: node})
	}
	return s
}

// slows holds back all in focus from one machine to others.
func (s script) slows(from string, nodes ...string) script {
	for _, node := range nodes {
		s = append(s, Step{Do: Slow, From: from, Node: node})
	}
	return s
}

// quickens ends what slows began.
func (s script) quickens(from string, nodes ...string) script {
	for _, node := range nodes {
		s = append(s, Step{Do: Quick, From: from, Node: node})
	}
	return s
}

// slowsKind holds back one kind of messages, about one register if one is named.
func (s script) slowsKind(kind, key, from string, nodes ...string) script {
	for _, node := range nodes {
		s = append(s, Step{Do: Slow, From: from, Node: node, Kind: kind, With: key})
	}
	return s
}

// loses drops all that is held back from one machine to others: it is no more
// under way when the search begins.
func (s script) loses(from string, nodes ...string) script {
	for _, node := range nodes {
		s = append(s, Step{Do: Flush, From: from, Node: node, With: WithLost})
	}
	return s
}

// message takes a step with one message.
func (s script) message(do Action, kind string, nth int, from, to string) script {
	return append(s, Step{Do: do, From: from, Node: to, Kind: kind, Nth: nth})
}

// writes begins an operator's write at a machine.
func (s script) writes(node, name string, expected int64) script {
	return append(s, Step{Do: Ask, Node: node, Kind: "write", With: name, Expected: expected, Nth: s.asks()})
}

func (s script) asks() int {
	count := 0
	for _, step := range s {
		if step.Do == Ask {
			count++
		}
	}
	return count
}
