package app

import (
	"fmt"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/soak"
)

var errBroken = errors.New("a promise was broken")

func soakCommand() *cobra.Command {
	p := soak.Params{}
	var seeds int
	var folder string
	var regressions bool
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run the real program as processes, harm them from outside and check the promises",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p.Out = cmd.OutOrStdout()
			bad := 0
			list := seedsFrom(p.Seed, seeds, regressions)
			for _, seed := range list {
				p.Seed = seed
				p.Folder = filepath.Join(folder, fmt.Sprint("seed-", p.Seed))
				broken, err := soak.Run(cmd.Context(), p)
				if err != nil {
					return err
				}
				for _, text := range broken {
					_, _ = fmt.Fprintf(p.Out, "seed %d: BROKEN: %s\n", p.Seed, text)
				}
				if len(broken) > 0 {
					bad++
				}
			}
			_, _ = fmt.Fprintf(p.Out, "%d passed, %d failed\n", len(list)-bad, bad)
			if bad > 0 {
				return errBroken
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&p.Program, "program", "bin/azuretiller", "path of the program")
	cmd.Flags().StringVar(&folder, "folder", ".cache/soak", "folder for settings and logs")
	cmd.Flags().Uint64Var(&p.Seed, "seed", 1, "first seed")
	cmd.Flags().BoolVar(&regressions, "regressions", false, "run the seeds that once failed, too")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of runs, each with the next seed")
	cmd.Flags().IntVar(&p.VMs, "vms", 6, "number of VMs")
	cmd.Flags().IntVar(&p.Workers, "servers", 6, "number of backend servers")
	cmd.Flags().IntVar(&p.Callers, "callers", 12, "number of callers")
	cmd.Flags().DurationVar(&p.Span, "span", 12*time.Second, "time in which faults are made")
	return cmd
}

// seedsFrom returns consecutive seeds, after those that once failed if they are wanted.
func seedsFrom(first uint64, n int, regressions bool) []uint64 {
	var list []uint64
	if regressions {
		for _, r := range soak.Regressions() {
			list = append(list, r.Seed)
		}
	}
	for i := range n {
		list = append(list, first+uint64(i))
	}
	return list
}
