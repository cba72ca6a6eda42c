package labcli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"burlpass/internal/config"
)

// writeFile creates the file at path and fills it with writeContent. An empty path writes nothing.
func writeFile(path string, writeContent func(io.Writer) error) (err error) {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, file.Close()) }()
	return writeContent(file)
}

// printLeadingFaults prints all faults in err except the last, and returns the last. Any other error is returned unchanged.
func printLeadingFaults(a *app, err error) error {
	var all config.FileErrors
	if !errors.As(err, &all) {
		return err
	}
	for _, fault := range all[:len(all)-1] {
		fmt.Fprintln(a.stderr, fault)
	}
	return all[len(all)-1]
}
