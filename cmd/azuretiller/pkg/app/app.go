package app

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/azuretiller/azuretiller/pkg/logging"
	"github.com/azuretiller/azuretiller/pkg/settings"
	"github.com/azuretiller/azuretiller/pkg/vmprocess"
)

// The exit codes of azuretiller.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

// errSettings is returned after the errors in a settings file were printed, so Run does not print it.
var errSettings = errors.New("invalid settings file")

// Run executes the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	root := Command(out, errOut)
	root.SetArgs(args)
	err := root.Execute()
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errSettings):
		return exitSettings
	default:
		_, _ = fmt.Fprintln(errOut, "azuretiller:", err)
		return exitFailed
	}
}

// Command returns the root command with all subcommands.
func Command(out, errOut io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "azuretiller",
		Short:         "Proxy fleet for backend servers with gray failures",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(errOut)
	root.AddCommand(serveCommand(errOut), checkCommand(errOut), edgeCommand(out))
	return root
}

func serveCommand(errOut io.Writer) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "serve",
		Short: "Run one VM of the fleet until SIGTERM, SIGINT or SIGHUP, then drain",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			stopSignals := []os.Signal{syscall.SIGTERM, syscall.SIGINT}
			if !signal.Ignored(syscall.SIGHUP) {
				// nohup ignores it.
				stopSignals = append(stopSignals, syscall.SIGHUP)
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), stopSignals...)
			defer stop()
			return serve(ctx, file, errOut)
		},
	}
	cmd.Flags().StringVarP(&file, "config", "c", "", "settings file, in JSON with comments")
	_ = cmd.MarkFlagRequired("config")
	return cmd
}

func serve(ctx context.Context, file string, errOut io.Writer) error {
	s, err := loadSettings(file, errOut)
	if err != nil {
		return err
	}
	logger, err := logging.New(errOut, s.Log.Level)
	if err != nil {
		return err
	}
	limitMemory(s.MemoryBytes)
	p, err := vmprocess.New(ctx, s, logger)
	if err != nil {
		return err
	}
	logger.WithField("vm", s.VM.ID).WithField("caller", s.VM.CallerAddress).Info("serving")
	return p.Run(ctx)
}

func checkCommand(errOut io.Writer) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a settings file and print every error in it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := loadSettings(args[0], errOut); err != nil {
				return err
			}
			_, err := fmt.Fprintln(cmd.OutOrStdout(), args[0]+": valid")
			return err
		},
	}
}

// loadSettings loads a settings file. It prints every error in the file and then returns errSettings.
func loadSettings(file string, errOut io.Writer) (settings.Settings, error) {
	s, problems := settings.Load(file)
	for _, p := range problems {
		_, _ = fmt.Fprintln(errOut, p)
	}
	if len(problems) > 0 {
		return s, errSettings
	}
	return s, nil
}
