package app

import (
	"context"
	"io"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/azuretiller/azuretiller/pkg/asyncwriter"
	"github.com/azuretiller/azuretiller/pkg/common"
	"github.com/azuretiller/azuretiller/pkg/edge"
	"github.com/azuretiller/azuretiller/pkg/logging"
	"github.com/azuretiller/azuretiller/pkg/metrics"
	"github.com/azuretiller/azuretiller/pkg/systemclock"
	"github.com/azuretiller/azuretiller/platform"
)

const (
	// metricsInterval is the time between updates of the metrics. It is shorter than the 5 s between scrapes.
	metricsInterval = 2 * time.Second
	// settingsPollInterval is the time between checks of the settings file, which may change without a SIGHUP.
	settingsPollInterval = 2 * time.Second
)

func edgeCommand(out io.Writer) *cobra.Command {
	var level string
	var metricsPort int
	var keepInZone, favorUrgent bool
	cmd := &cobra.Command{
		Use:   "edge",
		Short: "Run one VM of the fleet on the users' platform, with the settings file named in " + platform.SettingsVariable,
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			// From now on, SIGHUP does not end the process, also before it can read its settings again.
			hangups := make(chan os.Signal, 1)
			signal.Notify(hangups, syscall.SIGHUP)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			s, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
			if err != nil {
				return err
			}
			s.KeepInZone, s.FavorUrgent = s.KeepInZone && keepInZone, favorUrgent
			return runEdge(ctx, s, reloads{os.Getenv(platform.SettingsVariable), hangups}, level, metricsPort, out)
		},
	}
	cmd.Flags().StringVar(&level, "log", "info", "level of the log")
	cmd.Flags().IntVar(&metricsPort, "metrics-port", 0, "port that serves the metrics at /metrics; 0 disables it")
	cmd.Flags().BoolVar(&keepInZone, "keep-in-zone", false, "keep requests in their availability zone while that costs less than the bytes, if the settings allow it")
	cmd.Flags().BoolVar(&favorUrgent, "favor-urgent", false, "favor urgent requests while a service has too little capacity")
	return cmd
}

func runEdge(ctx context.Context, s platform.Settings, r reloads, level string, metricsPort int, out io.Writer) error {
	limitMemory(s.MemoryBytes)
	backgroundCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	writer := asyncwriter.New(out)
	writerDone := make(chan struct{})
	go func() {
		writer.Run(backgroundCtx)
		close(writerDone)
	}()
	defer func() {
		cancel()
		<-writerDone
	}()
	logger, err := logging.New(writer, level)
	if err != nil {
		return err
	}
	m := metrics.New(metricsInterval)
	defer func() { _ = m.Close() }()
	c := &common.Common{Log: logger, Clock: systemclock.New(), Metrics: m.Scope}
	started := c.Clock.Now()
	store := platform.NewStore(s.StoreAddress, func(call string, failed bool) {
		m.Scope.Tagged(map[string]string{"call": call, "failed": strconv.FormatBool(failed)}).Counter("store_calls").Inc(1)
	})
	logger.WithField("vm", s.VM).WithField("zone", s.Zone).WithField("callers", s.CallerAddress).Info("starting")
	e := edge.New(c, s, platform.NewRegistry(store))
	if metricsPort > 0 {
		host, _, err := net.SplitHostPort(s.CallerAddress)
		if err != nil {
			return errors.Wrap(err, "parse the caller address")
		}
		e.ServeMetrics(net.JoinHostPort(host, strconv.Itoa(metricsPort)), m.Handler)
	}
	err = e.Run(ctx, r.watch(backgroundCtx, c))
	logger.WithField("vm", s.VM).WithField("up", c.Clock.Now().Sub(started)).WithField("failed", err != nil).Info("stopped")
	return err
}

// reloads says when the settings are read again.
type reloads struct {
	// file is the path of the settings file.
	file string
	// hangups receives each SIGHUP.
	hangups <-chan os.Signal
}

// watch sends the settings on the returned channel after each SIGHUP and after each change of the settings file. A file
// that cannot be read is logged and skipped. Settings are dropped while earlier ones are still waiting to be received.
func (r reloads) watch(ctx context.Context, c *common.Common) <-chan platform.Settings {
	reload := make(chan platform.Settings, 1)
	go func() {
		ticker := time.NewTicker(settingsPollInterval)
		defer ticker.Stop()
		lastModified := modTime(r.file)
		for {
			select {
			case <-ctx.Done():
				return
			case <-r.hangups:
			case <-ticker.C:
				modified := modTime(r.file)
				if modified.Equal(lastModified) {
					continue
				}
				lastModified = modified
			}
			s, err := platform.LoadSettings(r.file)
			if err != nil {
				c.Log.WithError(err).Warn("settings not reloaded")
				continue
			}
			select {
			case reload <- s:
			default:
			}
		}
	}()
	return reload
}

func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}
