// Package structure contains checks of the program's own source, all in its test files: the groups of packages and their imports against
// the graph in docs/architecture.md, the number of methods of a type, the number of files that write a field, and the messages
// of log lines, each of which one place writes. Names that leave the process are compared with the lists in testdata.
//
// The checks read the source with the go command and type information, without test files. Begin reading at load in load_test.go.
package structure
