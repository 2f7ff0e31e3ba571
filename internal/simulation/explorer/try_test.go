package explorer

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"
)

func TestTry(_ *testing.T) {
	name := os.Getenv("M")
	model, _ := ModelOf(name)
	if d, err := strconv.Atoi(os.Getenv("DEPTH")); err == nil {
		model.Depth = d
	}
	if d, err := strconv.Atoi(os.Getenv("DEV")); err == nil {
		model.Deviations = d
	}
	most, _ := time.ParseDuration(os.Getenv("MOST"))
	var report Report
	if length, err := strconv.Atoi(os.Getenv("WALK")); err == nil {
		report = Walks(model, length, 1<<30, Options{Seed: 1, Workers: 2, Most: most})
	} else {
		report = Search(model, Options{Seed: 1, Workers: 2, Most: most})
	}
	found := report.Found
	report.Found = nil
	fmt.Printf("%+v\n", report)
	if found != nil {
		fmt.Println("FOUND", found.Breach, len(found.Steps))
		short := Shorten(model, *found)
		fmt.Println("SHORT", short.Breach)
		for _, step := range short.Steps {
			fmt.Println("  ", step)
		}
		for _, note := range short.Notes {
			fmt.Println("     ", note)
		}
		_ = short.WriteFile("/tmp/found-" + name + ".json")
	}
}
