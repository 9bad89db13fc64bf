package app

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/soak"
)

var errGuaranteeViolated = errors.New("a guarantee was violated")

func soakCommand() *cobra.Command {
	p := soak.Params{}
	var seedCount int
	var folder string
	var regressions bool
	var knownRed []string
	cmd := &cobra.Command{
		Use:   "soak",
		Short: "Run a fleet of azuretiller processes, inject faults and check the guarantees",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p.Out = cmd.OutOrStdout()
			failed := 0
			seeds := seedsFrom(p.Seed, seedCount, regressions)
			for _, seed := range seeds {
				p.Seed = seed
				p.Folder = filepath.Join(folder, fmt.Sprint("seed-", p.Seed))
				violations, err := soak.Run(cmd.Context(), p)
				if err != nil {
					return err
				}
				broken := false
				for _, text := range violations {
					verdict := "BROKEN"
					if isKnownRed(text, knownRed) {
						verdict = "KNOWN RED"
					}
					broken = broken || verdict == "BROKEN"
					_, _ = fmt.Fprintf(p.Out, "seed %d: %s: %s\n", p.Seed, verdict, text)
				}
				if broken {
					failed++
				}
			}
			_, _ = fmt.Fprintf(p.Out, "%d passed, %d failed\n", len(seeds)-failed, failed)
			if failed > 0 {
				return errGuaranteeViolated
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&p.Program, "program", "bin/azuretiller", "path of the azuretiller program")
	cmd.Flags().StringVar(&folder, "folder", ".cache/soak", "folder for settings and logs")
	cmd.Flags().Uint64Var(&p.Seed, "seed", 1, "first seed")
	cmd.Flags().BoolVar(&regressions, "regressions", false, "also run the seeds that failed in the past")
	cmd.Flags().StringSliceVar(&knownRed, "known-red", nil, "beginnings of the violations that are listed in KNOWN-RED.txt: they are printed, but do not fail the run")
	cmd.Flags().IntVar(&seedCount, "seeds", 1, "number of runs, each with the next seed")
	cmd.Flags().BoolVar(&p.Rollouts, "rollouts", false, "also roll out a version, good or bad by the seed")
	cmd.Flags().BoolVar(&p.Planned, "planned", false, "overlapping rolling restarts and changes of the configuration instead of random faults")
	cmd.Flags().IntVar(&p.VMs, "vms", 6, "number of VMs")
	cmd.Flags().IntVar(&p.Servers, "servers", 6, "number of backend servers")
	cmd.Flags().IntVar(&p.Callers, "callers", 12, "number of callers")
	cmd.Flags().DurationVar(&p.FaultDuration, "span", 12*time.Second, "time during which new faults are injected")
	return cmd
}

// isKnownRed reports whether a violation begins with one of the given texts.
func isKnownRed(violation string, known []string) bool {
	return slices.ContainsFunc(known, func(beginning string) bool { return strings.HasPrefix(violation, beginning) })
}

// seedsFrom returns n consecutive seeds from first. With regressions, the seeds of earlier failures come before them.
func seedsFrom(first uint64, n int, regressions bool) []uint64 {
	var seeds []uint64
	if regressions {
		for _, r := range soak.Regressions() {
			seeds = append(seeds, r.Seed)
		}
	}
	for i := range n {
		seeds = append(seeds, first+uint64(i))
	}
	return seeds
}
