// Command sourcecheck checks the repository's own rules for Go files. It reports files that are too long, exported items
// without a doc comment (which staticcheck does not report), socket deadlines that are set outside the files that own
// them, and built programs that are committed.
package main

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// maxLines is the maximum length of a Go file, tests included, so that a file stays small enough to have one job.
const maxLines = 400

func main() {
	findings, err := checkTree(".")
	if err == nil {
		var programs []string
		programs, err = committedPrograms(".")
		findings = append(findings, programs...)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "sourcecheck:", err)
		os.Exit(1)
	}
	for _, finding := range findings {
		fmt.Println(finding)
	}
	if len(findings) > 0 {
		os.Exit(1)
	}
}

// checkTree checks every Go file below root. Hidden directories are skipped.
func checkTree(root string) ([]string, error) {
	var findings []string
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && path != root && strings.HasPrefix(entry.Name(), ".") {
			return filepath.SkipDir
		}
		if entry.IsDir() || filepath.Ext(path) != ".go" {
			return nil
		}
		source, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		found, err := checkFile(path, source)
		findings = append(findings, found...)
		return err
	})
	return findings, err
}

func checkFile(path string, source []byte) ([]string, error) {
	var findings []string
	if lines := bytes.Count(source, []byte("\n")); lines > maxLines {
		findings = append(findings, fmt.Sprintf("%s: %d lines, at most %d are allowed: split it by job", path, lines, maxLines))
	}
	if strings.HasSuffix(path, "_test.go") {
		return findings, nil
	}
	fileSet := token.NewFileSet()
	file, err := parser.ParseFile(fileSet, path, source, parser.ParseComments|parser.SkipObjectResolution)
	if err != nil {
		return findings, err
	}
	findings = append(findings, misplacedDeadlines(path, fileSet, file)...)
	if file.Name.Name == "main" {
		return findings, nil
	}
	for _, name := range undocumented(file) {
		findings = append(findings, fmt.Sprintf("%s: exported %s has no doc comment", fileSet.Position(name.Pos()), name.Name))
	}
	return findings, nil
}

// undocumented returns the exported names of a file that have neither a comment of their own nor one on their group.
func undocumented(file *ast.File) []*ast.Ident {
	var names []*ast.Ident
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			if declaration.Doc == nil && exportedReceiver(declaration) {
				names = append(names, declaration.Name)
			}
		case *ast.GenDecl:
			if declaration.Doc == nil {
				names = append(names, undocumentedSpecs(declaration.Specs)...)
			}
		}
	}
	var exported []*ast.Ident
	for _, name := range names {
		if name.IsExported() {
			exported = append(exported, name)
		}
	}
	return exported
}

// exportedReceiver reports whether a function is not a method, or is a method of an exported type.
func exportedReceiver(function *ast.FuncDecl) bool {
	if function.Recv == nil {
		return true
	}
	receiver := function.Recv.List[0].Type
	for {
		switch t := receiver.(type) {
		case *ast.StarExpr:
			receiver = t.X
		case *ast.IndexExpr:
			receiver = t.X
		case *ast.IndexListExpr:
			receiver = t.X
		case *ast.Ident:
			return t.IsExported()
		default:
			return false
		}
	}
}

func undocumentedSpecs(specs []ast.Spec) []*ast.Ident {
	var names []*ast.Ident
	for _, spec := range specs {
		switch spec := spec.(type) {
		case *ast.TypeSpec:
			if spec.Doc == nil && spec.Comment == nil {
				names = append(names, spec.Name)
			}
		case *ast.ValueSpec:
			if spec.Doc == nil && spec.Comment == nil {
				names = append(names, spec.Names...)
			}
		}
	}
	return names
}
