package cli

import (
	"fmt"

	"github.com/spf13/cobra"

	"burlpass/internal/config"
	"burlpass/internal/lab/scenario"
	"burlpass/internal/program"
)

// keysCommand prints the reference tables that docs/configuration.md contains.
func (a *app) keysCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "keys",
		Short:   "Print every key of the configuration and of scenarios, with type, default and range",
		Example: "  burlpass keys",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			fmt.Fprintf(a.stdout, "## A sidecar\n\n%s\n## A scenario of the laboratory\n\n%s", config.Reference(program.Keys()),
				config.Reference(scenario.Keys()))
			return nil
		},
	}
}
