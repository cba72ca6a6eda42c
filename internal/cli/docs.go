package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"burlpass/internal/config"
	"burlpass/internal/program"
)

// keysCommand prints a reference table that docs/configuration.md contains.
func keysCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:     "keys",
		Short:   "Print every key of the configuration, with type, default and range",
		Example: "  burlpass keys",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			fmt.Fprintf(stdout, "## A sidecar\n\n%s", config.Reference(program.Keys()))
			return nil
		},
	}
}
