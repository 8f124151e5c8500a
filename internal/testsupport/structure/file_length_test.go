package structure

import (
	"bytes"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// maxFileLines is how many lines a Go file may have, tests included.
const maxFileLines = 400

func TestNoFileIsTooLong(t *testing.T) {
	findings, files := longFiles(t, moduleRoot)
	if files == 0 {
		t.Fatal("no Go file was found")
	}
	reportFindings(t, findings)
}

func TestTooLongFilesAreFound(t *testing.T) {
	root := t.TempDir()
	for name, lines := range map[string]int{"short.go": maxFileLines, "long.go": maxFileLines + 1, "long_test.go": 500, "long.txt": 900} {
		if err := os.WriteFile(filepath.Join(root, name), []byte(strings.Repeat("\n", lines)), 0o600); err != nil {
			t.Fatal(err)
		}
	}

	findings, files := longFiles(t, root)

	if files != 3 {
		t.Errorf("%d files were read, want 3", files)
	}
	requireFindings(t, findings, []string{"long.go has 401 lines, 400 are allowed", "long_test.go has 500 lines, 400 are allowed"})
}

// longFiles returns a finding for each Go file below a folder that has too many lines, and the number of Go files.
func longFiles(t *testing.T, root string) (findings []string, files int) {
	t.Helper()
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".go" {
			return err
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		files++
		if lines := bytes.Count(text, []byte("\n")); lines > maxFileLines {
			name, _ := filepath.Rel(root, path)
			findings = append(findings, fmt.Sprintf("%s has %d lines, %d are allowed", name, lines, maxFileLines))
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return findings, files
}
