package cli

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"burlpass/internal/program"
)

func checkCommand(stdout io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Report every fault of a configuration file",
		Long: `Reads a sidecar's configuration, TOML or the platform's JSON, and prints every fault with its place.
Exit code 0: none; 1: some, or the file cannot be read.`,
		Example: "  burlpass check docs/config.example.toml",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			faults, err := program.Check(args[0])
			if err != nil {
				return Failure(err)
			}
			for _, f := range faults {
				fmt.Fprintln(stdout, f)
			}
			if len(faults) > 0 {
				return Failure(fmt.Errorf("%s: %d faults", args[0], len(faults)))
			}
			fmt.Fprintf(stdout, "%s: no faults\n", args[0])
			return nil
		},
	}
}
