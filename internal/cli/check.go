package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"burlpass/internal/program"
)

func (a *app) checkCommand() *cobra.Command {
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
				return failure(err)
			}
			for _, f := range faults {
				fmt.Fprintln(a.stdout, f)
			}
			if len(faults) > 0 {
				return failure(fmt.Errorf("%s: %d faults", args[0], len(faults)))
			}
			fmt.Fprintf(a.stdout, "%s: no faults\n", args[0])
			return nil
		},
	}
}
