package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// print prints the inspection as text.
func (i *inspection) print(w io.Writer) {
	printf(w, "entries %d\n", i.Entries)
	if i.Entries > 0 {
		printf(w, "first   %s\nlast    %s\n", i.First, i.Last)
	}
	printCounts(w, "methods", i.Methods)
	printCounts(w, "status", i.Status)
	printCounts(w, "skipped", i.Skipped)
	if len(i.Curve) > 0 {
		printf(w, "curve   |%s|\n", bars(i.Curve))
	}
}

// printCounts prints a line of counts in order of their keys, and nothing if there are none.
func printCounts[K ~string](w io.Writer, name string, counts map[K]int) {
	var parts []string
	for _, key := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", key, counts[key]))
	}
	if len(parts) > 0 {
		printf(w, "%-7s %s\n", name, strings.Join(parts, ", "))
	}
}

// bars draws counts as a line of bars, the highest at full height.
func bars(counts []int) string {
	levels := []rune(" ▁▂▃▄▅▆▇█")
	highest := max(slices.Max(counts), 1)
	var line strings.Builder
	for _, count := range counts {
		level := (count*(len(levels)-1) + highest - 1) / highest // rounded up, so that every count above 0 is visible
		line.WriteRune(levels[level])
	}
	return line.String()
}
