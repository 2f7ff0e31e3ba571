package explorer

import (
	"fmt"
	"os"
	"strconv"
	"testing"
)

func TestShow(t *testing.T) {
	model, _ := ModelOf(os.Getenv("M"))
	seed, _ := strconv.Atoi(os.Getenv("SEED"))
	length, _ := strconv.Atoi(os.Getenv("WALK"))
	w, steps := Walk(model, int64(seed), length)
	fmt.Println(w.Broken())
	for _, s := range steps {
		switch s.Do {
		case Round, Deliver:
			if s.With == "" {
				continue
			}
		}
		fmt.Println(s)
	}
	for _, n := range w.Notes() {
		fmt.Println("   ", n)
	}
	for _, m := range w.machines {
		p := m.core.Page(m.clock())
		fmt.Println(m.name, m.id, m.up, m.frozen, names(p.Core), p.Core.Epoch, p.Core.Swept)
		for _, mm := range p.Members {
			fmt.Println("      ", mm.ID, mm.Standing)
		}
	}
}
