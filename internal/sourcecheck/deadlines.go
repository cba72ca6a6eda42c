package main

import (
	"fmt"
	"go/ast"
	"go/token"
	"path/filepath"
	"slices"
	"strings"
)

// deadlineOwners lists, for each restricted package, the files that may set a socket's deadline. Elsewhere in these packages one
// stage would overwrite the deadline of another, and no code would own the total.
var deadlineOwners = map[string][]string{
	"internal/transport": {"deadline.go", "pool.go", "attempt.go", "exchange.go"}, // connections of clients; the others are to workers
	"internal/protocol":  {"registry.go"},                                         // a request to the registry, limited by its context
	"internal/routing":   {},
	"internal/program":   {},
}

var deadlineMethods = []string{"SetDeadline", "SetReadDeadline", "SetWriteDeadline"}

// misplacedDeadlines returns a finding for each call that sets a deadline outside the owning files.
func misplacedDeadlines(path string, fileSet *token.FileSet, file *ast.File) []string {
	owners, restricted := deadlineOwners[strings.TrimPrefix(filepath.ToSlash(filepath.Dir(path)), "./")]
	if !restricted || slices.Contains(owners, filepath.Base(path)) {
		return nil
	}
	var findings []string
	ast.Inspect(file, func(n ast.Node) bool {
		if call, ok := n.(*ast.SelectorExpr); ok && slices.Contains(deadlineMethods, call.Sel.Name) {
			findings = append(findings, fmt.Sprintf("%s: %s beside the owner of the connection's deadlines", fileSet.Position(call.Pos()), call.Sel.Name))
		}
		return true
	})
	return findings
}
