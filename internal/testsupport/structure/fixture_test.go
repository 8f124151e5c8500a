package structure

import (
	"os"
	"slices"
	"strings"
	"testing"
)

// readArchitecturePage returns the page with the graph of groups and the names that the checks compare with the source.
func readArchitecturePage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(moduleRoot + "/docs/architecture.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// reportFindings fails the test with each finding of a check.
func reportFindings(t *testing.T, findings []string) {
	t.Helper()
	for _, finding := range findings {
		t.Error(finding)
	}
}

// requireFindings fails the test unless a check of a planted source has the wanted findings.
func requireFindings(t *testing.T, got, want []string) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
