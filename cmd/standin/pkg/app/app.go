package app

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/azuretiller/azuretiller/cmd/standin/pkg/backend"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/capacity"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/demo"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/docs"
	"github.com/azuretiller/azuretiller/cmd/standin/pkg/platformserver"
	"github.com/azuretiller/azuretiller/pkg/memlog"
)

const headerTimeout = 10 * time.Second

// Run executes a command line and returns the exit code: 0 on success, 1 after an error or a violated guarantee.
func Run(args []string, out, errOut io.Writer) int {
	root := Command(out, errOut)
	root.SetArgs(args)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintln(errOut, "standin:", err)
		return 1
	}
	return 0
}

// Command returns the root command with its subcommands.
func Command(out, errOut io.Writer) *cobra.Command {
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins for the platform and the backend servers",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(errOut)
	root.AddCommand(platformCommand(), backendCommand(), demoCommand(errOut), capacityCommand(), docsCommand(), soakCommand())
	return root
}

func platformCommand() *cobra.Command {
	var address, token string
	var maxEntries, appendsPerSecond int
	var vmListLag time.Duration
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Serve the append-only log and the VM list",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serve(cmd.Context(), address, platformserver.New(memlog.New(maxEntries), token, appendsPerSecond, vmListLag))
		},
	}
	cmd.Flags().StringVar(&address, "listen", "127.0.0.1:9000", "address to listen on")
	cmd.Flags().StringVar(&token, "token", "token-of-the-platform", "token that clients must send")
	cmd.Flags().IntVar(&maxEntries, "keep", 10000, "maximum number of log entries that are kept")
	cmd.Flags().IntVar(&appendsPerSecond, "appends", 300, "maximum number of appends accepted per second; 0 means no limit")
	cmd.Flags().DurationVar(&vmListLag, "lag", 5*time.Second, "delay until the VM list shows a VM as leaving")
	return cmd
}

func backendCommand() *cobra.Command {
	var address, name string
	var slots int
	var serviceTime, warmupTime time.Duration
	var faults backend.Faults
	cmd := &cobra.Command{
		Use:   "backend",
		Short: "Serve as a backend server whose faults are set by flags or over HTTP",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			b := backend.New(name, slots, serviceTime, warmupTime, uint64(time.Now().UnixNano()))
			b.SetFaults(faults)
			return serve(cmd.Context(), address, b)
		},
	}
	f := cmd.Flags()
	f.StringVar(&address, "listen", "127.0.0.1:9100", "address to listen on")
	f.StringVar(&name, "name", "backend", "name of the server in responses")
	f.IntVar(&slots, "slots", 3, "maximum number of concurrent requests")
	f.DurationVar(&serviceTime, "work", 5*time.Millisecond, "duration of a request on a warm server")
	f.DurationVar(&warmupTime, "warm", time.Second, "total duration of requests after which a cold server is warm")
	f.Float64Var(&faults.Fail, "fail", 0, "fraction of requests that fail; health checks are not affected")
	f.Float64Var(&faults.Slow, "slow", 0, "factor by which requests take longer, if it is greater than 1")
	f.StringVar(&faults.Route, "route", "", "path prefix that --fail and --slow are limited to")
	f.IntVar(&faults.FlapMs, "flap", 0, "milliseconds after which the faults are alternately turned off and on; 0 leaves them on")
	f.BoolVar(&faults.Unhealthy, "unwell", false, "fail the health endpoint")
	f.BoolVar(&faults.Shed, "shed", false, "reject all requests and declare that they did not run")
	f.BoolVar(&faults.Drain, "drain", false, "announce in responses that the server is shutting down")
	f.BoolVar(&faults.Truncate, "truncate", false, "close the connection after about half of the response body")
	f.BoolVar(&faults.WrongRequestID, "cross", false, "return responses that carry the request ID of another request")
	f.IntVar(&faults.LateMs, "late", 0, "milliseconds by which responses are delayed after the request has run")
	f.BoolVar(&faults.Reset, "reset", false, "close the connection without a response after the request has run")
	f.StringVar(&faults.Poison, "poison", "", "crash the server when the path of a request contains this text")
	return cmd
}

func demoCommand(errOut io.Writer) *cobra.Command {
	var options demo.Options
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run a fleet with its callers and backend servers in one process and print a report; exits 1 if a guarantee was violated",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return demo.New(options, cmd.OutOrStdout(), errOut).Run(cmd.Context())
		},
	}
	cmd.Flags().BoolVar(&options.Kill, "kill", false, "kill a VM during the traffic")
	cmd.Flags().StringVar(&options.LogLevel, "log", "error", "level of the VMs' logs: debug, info, warn or error")
	return cmd
}

func capacityCommand() *cobra.Command {
	var page string
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure the resource use of a fleet at several sizes; exits 1 if the figures do not match the page given by --check",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			figures, err := capacity.Measure(cmd.Context(), cmd.OutOrStdout())
			if err != nil || page == "" {
				return err
			}
			return capacity.Check(page, figures)
		},
	}
	cmd.Flags().StringVar(&page, "check", "", "page whose figures are compared with the measured ones")
	return cmd
}

func docsCommand() *cobra.Command {
	return &cobra.Command{
		Use:    "docs FOLDER",
		Short:  "Write the pages that are generated from the code",
		Args:   cobra.ExactArgs(1),
		Hidden: true,
		RunE: func(_ *cobra.Command, args []string) error {
			return docs.Write(args[0])
		},
	}
}

func serve(ctx context.Context, address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return errors.Wrap(err, "open socket")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	cancelClose := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer cancelClose()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}
