package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
)

// deadlineOwners are the files that may set a socket's deadline, in the packages in which deadlines have one owner. Elsewhere
// in these packages a stage would replace what another has set, and nobody would own their sum.
var deadlineOwners = map[string][]string{
	"internal/transport": {"deadline.go", "pool.go", "attempt.go", "exchange.go"}, // clients; the rest is the backends' side
	"internal/protocol":  {"registry.go"},                                         // a call to discovery, bound by its context
	"internal/routing":   {},
	"internal/program":   {},
}

var deadlineMethods = []string{"SetDeadline", "SetReadDeadline", "SetWriteDeadline"}

// strayDeadlines finds the calls that set a deadline outside its owner.
func strayDeadlines(path string, files *token.FileSet, file *ast.File) []string {
	owners, owned := deadlineOwners[strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), "./")]
	if !owned || slices.Contains(owners, filepath.Base(path)) {
		return nil
	}
	var findings []string
	ast.Inspect(file, func(n ast.Node) bool {
		if call, ok := n.(*ast.SelectorExpr); ok && slices.Contains(deadlineMethods, call.Sel.Name) {
			findings = append(findings, fmt.Sprintf("%s: %s beside the owner of the connection's deadlines", files.Position(call.Pos()), call.Sel.Name))
		}
		return true
	})
	return findings
}
