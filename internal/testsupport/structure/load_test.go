package structure

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
)

const (
	modulePath = "heathshed"
	// moduleRoot is the path of the module's root, relative to this package.
	moduleRoot = "../../.."
)

// sourcePackage is one package of the module with its files that are not tests.
type sourcePackage struct {
	path    string
	imports []string // all packages that it imports, of this module or not
	files   []*ast.File
	types   *types.Package
	info    *types.Info
}

// module is the source of all packages of the module, each after those that it imports.
type module struct {
	fileSet  *token.FileSet
	packages []*sourcePackage
}

// listedPackage is the go command's description of a package.
type listedPackage struct {
	ImportPath string
	Dir        string
	GoFiles    []string
	Imports    []string
	Export     string // the file with the types that the compiled package exports
	Module     *struct{ Path string }
}

func (p *listedPackage) inModule() bool { return p.Module != nil && p.Module.Path == modulePath }

var loadOnce = sync.OnceValues(loadModule)

// load returns the module's source, which is read once for all tests.
func load(t *testing.T) *module {
	t.Helper()
	loaded, err := loadOnce()
	if err != nil {
		t.Fatal(err)
	}
	return loaded
}

func loadModule() (*module, error) {
	listed, err := listPackages("-deps", "./...")
	if err != nil {
		return nil, err
	}
	listed = slices.DeleteFunc(listed, func(pkg *listedPackage) bool { return !pkg.inModule() })
	exported, err := listPackages(append([]string{"-export"}, outsideImports(listed)...)...)
	if err != nil {
		return nil, err
	}
	loaded := &module{fileSet: token.NewFileSet()}
	dependencies := newModuleImporter(loaded.fileSet, exported)
	for _, each := range listed {
		pkg, err := checkPackage(loaded.fileSet, each, dependencies)
		if err != nil {
			return nil, fmt.Errorf("reading package %s: %w", each.ImportPath, err)
		}
		dependencies.checked[pkg.path] = pkg.types
		loaded.packages = append(loaded.packages, pkg)
	}
	return loaded, nil
}

// outsideImports returns the packages of other modules and the standard library that the packages import. Only these are compiled.
func outsideImports(listed []*listedPackage) []string {
	outside := map[string]bool{}
	for _, pkg := range listed {
		for _, path := range pkg.Imports {
			if !strings.HasPrefix(path, modulePath+"/") && path != "unsafe" {
				outside[path] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(outside))
}

// listPackages returns what the go command lists for its arguments. With -deps each package comes after those that it imports.
func listPackages(arguments ...string) ([]*listedPackage, error) {
	command := exec.Command("go", append([]string{"list", "-json=ImportPath,Dir,GoFiles,Imports,Export,Module"}, arguments...)...)
	command.Dir = moduleRoot
	output, err := command.Output()
	if err != nil {
		var failed *exec.ExitError
		if errors.As(err, &failed) {
			return nil, fmt.Errorf("listing packages: %w: %s", err, failed.Stderr)
		}
		return nil, fmt.Errorf("listing packages: %w", err)
	}
	var listed []*listedPackage
	decoder := json.NewDecoder(bytes.NewReader(output))
	for {
		pkg := new(listedPackage)
		if err := decoder.Decode(pkg); errors.Is(err, io.EOF) {
			return listed, nil
		} else if err != nil {
			return nil, fmt.Errorf("listing packages: %w", err)
		}
		listed = append(listed, pkg)
	}
}

// moduleImporter returns the packages of the module as checked from source, and all others from the compiler's export data.
type moduleImporter struct {
	checked  map[string]*types.Package
	compiled types.Importer
}

func newModuleImporter(fileSet *token.FileSet, exported []*listedPackage) *moduleImporter {
	exports := map[string]string{}
	for _, pkg := range exported {
		exports[pkg.ImportPath] = pkg.Export
	}
	open := func(path string) (io.ReadCloser, error) { return os.Open(exports[path]) }
	return &moduleImporter{
		checked:  map[string]*types.Package{},
		compiled: importer.ForCompiler(fileSet, "gc", open),
	}
}

func (i *moduleImporter) Import(path string) (*types.Package, error) {
	if pkg, ok := i.checked[path]; ok {
		return pkg, nil
	}
	return i.compiled.Import(path)
}

func checkPackage(fileSet *token.FileSet, listed *listedPackage, dependencies types.Importer) (*sourcePackage, error) {
	var files []*ast.File
	for _, name := range listed.GoFiles {
		file, err := parser.ParseFile(fileSet, filepath.Join(listed.Dir, name), nil, parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	pkg, err := checkFiles(fileSet, listed.ImportPath, files, dependencies)
	if err != nil {
		return nil, err
	}
	pkg.imports = listed.Imports
	return pkg, nil
}

func checkFiles(fileSet *token.FileSet, path string, files []*ast.File, dependencies types.Importer) (*sourcePackage, error) {
	pkg := &sourcePackage{
		path:  path,
		files: files,
		info: &types.Info{
			Types:      map[ast.Expr]types.TypeAndValue{},
			Uses:       map[*ast.Ident]types.Object{},
			Selections: map[*ast.SelectorExpr]*types.Selection{},
		},
	}
	configuration := types.Config{Importer: dependencies}
	checked, err := configuration.Check(path, fileSet, files, pkg.info)
	pkg.types = checked
	return pkg, err
}

// plantedModule is a module of one package with the given files, to show that a check finds what it is for.
func plantedModule(t *testing.T, sources map[string]string) *module {
	t.Helper()
	planted := &module{fileSet: token.NewFileSet()}
	var files []*ast.File
	for name, source := range sources {
		file, err := parser.ParseFile(planted.fileSet, name, source, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	pkg, err := checkFiles(planted.fileSet, modulePath+"/planted", files, nil)
	if err != nil {
		t.Fatal(err)
	}
	planted.packages = []*sourcePackage{pkg}
	return planted
}

// shortPath is the path of the package without the module and the folder internal.
func (p *sourcePackage) shortPath() string {
	return strings.TrimPrefix(strings.TrimPrefix(p.path, modulePath+"/"), "internal/")
}

// has reports whether the module has a package with the short path.
func (m *module) has(path string) bool {
	return slices.ContainsFunc(m.packages, func(pkg *sourcePackage) bool { return pkg.shortPath() == path })
}
