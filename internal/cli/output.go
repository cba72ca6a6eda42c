package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"burlpass/internal/config"
)

// write writes a file by way of what makes its text; nothing where the path is empty.
func write(path string, make func(io.Writer) error) (err error) {
	if path == "" {
		return nil
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	return make(f)
}

// faults prints every fault of a file but the last, which is returned.
func faults(a *app, err error) error {
	var all config.FileErrors
	if !errors.As(err, &all) {
		return err
	}
	for _, f := range all[:len(all)-1] {
		fmt.Fprintln(a.stderr, f)
	}
	return all[len(all)-1]
}
