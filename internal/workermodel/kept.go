package workermodel

import "cmp"

// kept is a part in a worker's memory: held by running requests, or else kept
// until room is needed.
type kept struct {
	key    string
	tokens int
	users  int
	usedAt int64
}

// memory is the prompt memory of one worker.
type memory struct {
	spec  Spec
	parts map[string]*kept
	// own are the tokens of running requests that are no kept parts.
	own   int
	clock int64
}

func partKey(ask Ask, name string) string { return ask.Model + "/" + ask.Adapter + "/" + name }

// found lists the parts of a prompt that need no reading: those kept for the
// same model and adapter, up to the first that is not.
func (m *memory) found(ask Ask) []*kept {
	var out []*kept
	for _, part := range ask.Parts {
		one, ok := m.parts[partKey(ask, part.Name)]
		if !ok || one.tokens != part.Tokens {
			break
		}
		out = append(out, one)
	}
	return out
}

// held is what cannot give way, in tokens; spare is what can.
func (m *memory) held() (fixed, spare int) {
	fixed = m.own
	for _, one := range m.parts {
		if one.users > 0 {
			fixed += m.spec.blocks(one.tokens)
		} else {
			spare += m.spec.blocks(one.tokens)
		}
	}
	return fixed, spare
}

// take claims tokens; parts unused longest give way. It tells whether it could.
func (m *memory) take(tokens int) bool {
	fixed, spare := m.held()
	if fixed+tokens > m.spec.MemoryTokens {
		return false
	}
	for fixed+spare+tokens > m.spec.MemoryTokens {
		var oldest *kept
		for _, one := range m.parts {
			if one.users == 0 && (oldest == nil || cmp.Or(cmp.Compare(one.usedAt, oldest.usedAt), cmp.Compare(one.key, oldest.key)) < 0) {
				oldest = one
			}
		}
		spare -= m.spec.blocks(oldest.tokens)
		delete(m.parts, oldest.key)
	}
	m.own += tokens
	return true
}

func (m *memory) use(one *kept) {
	m.clock++
	one.users, one.usedAt = one.users+1, m.clock
}

// release lets go of a part; later parts of a prompt are unused longer, so that
// they give way before those they need.
func (m *memory) release(parts []*kept) {
	for at := len(parts) - 1; at >= 0; at-- {
		m.clock++
		parts[at].users, parts[at].usedAt = parts[at].users-1, m.clock
	}
}

// settle makes kept parts of what a request has read, and returns them all.
func (m *memory) settle(ask Ask, had []*kept) []*kept {
	for _, part := range ask.Parts[len(had):] {
		key := partKey(ask, part.Name)
		one := m.parts[key]
		switch {
		case one == nil:
			one = &kept{key: key, tokens: part.Tokens}
			m.parts[key] = one
		case one.tokens != part.Tokens:
			return had // another part of this name: what was read stays the request's own
		}
		m.own -= m.spec.blocks(part.Tokens)
		m.use(one)
		had = append(had, one)
	}
	return had
}

// forget drops what was kept of a model's prompts, or of one adapter's.
func (m *memory) forget(model, adapter string) {
	for key, one := range m.parts {
		prefix := model + "/"
		if adapter != "" {
			prefix += adapter + "/"
		}
		if one.users == 0 && len(key) >= len(prefix) && key[:len(prefix)] == prefix {
			delete(m.parts, key)
		}
	}
}
