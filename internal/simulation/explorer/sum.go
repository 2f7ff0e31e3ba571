package explorer

// sum is a running FNV-1a sum over words and numbers, each ended by its length.
type sum uint64

const (
	sumStart = sum(14695981039346656037)
	sumPrime = 1099511628211
)

func (s sum) number(n uint64) sum {
	for range 8 {
		s = (s ^ sum(n&0xff)) * sumPrime
		n >>= 8
	}
	return s
}

func (s sum) word(word string) sum {
	for i := range len(word) {
		s = (s ^ sum(word[i])) * sumPrime
	}
	return s.number(uint64(len(word)))
}

func (s sum) bytes(body []byte) sum {
	for _, b := range body {
		s = (s ^ sum(b)) * sumPrime
	}
	return s.number(uint64(len(body)))
}

func (s sum) truth(yes bool) sum {
	if yes {
		return s.number(1)
	}
	return s.number(0)
}
