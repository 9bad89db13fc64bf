package app

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/azuretiller/azuretiller/pkg/operator"
	"github.com/azuretiller/azuretiller/pkg/operatorclient"
)

// The exit codes of tillerctl.
const (
	exitOK           = 0
	exitFailed       = 1
	exitUsage        = 2
	exitRejected     = 3
	exitUndetermined = 4
)

var (
	errRejected     = errors.New("the edit was not accepted")
	errUndetermined = errors.New("the result of the edit is not known yet")
	errUsage        = errors.New("usage error")
)

// cli holds the output and the global flags that all commands share.
type cli struct {
	out       io.Writer
	address   string
	tokenFile string
	printJSON bool
	operator  string
	comment   string
}

// Run executes the command line and returns the exit code.
func Run(args []string, out, errOut io.Writer) int {
	root := Command(out, errOut)
	root.SetArgs(args)
	err := root.Execute()
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "tillerctl:", err)
	}
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errRejected):
		return exitRejected
	case errors.Is(err, errUndetermined):
		return exitUndetermined
	case errors.Is(err, errUsage):
		return exitUsage
	default:
		return exitFailed
	}
}

// Command returns the root command with all subcommands.
func Command(out, errOut io.Writer) *cobra.Command {
	c := &cli{out: out}
	root := &cobra.Command{
		Use:   "tillerctl",
		Short: "Operate a fleet: settings tree, keys, zones, VMs, backend servers",
		Long: "Operate a fleet: settings tree, keys, zones, VMs, backend servers.\n\n" +
			"Exit codes: 0 success, 1 failure, 2 usage error, 3 the edit was not accepted, 4 the result of the edit is not known yet.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(out)
	root.SetErr(errOut)
	f := root.PersistentFlags()
	f.StringVar(&c.address, "vm", envOr("TILLERCTL_VM", "127.0.0.1:7300"), "operators' address of any VM")
	f.StringVar(&c.tokenFile, "token-file", os.Getenv("TILLERCTL_TOKEN_FILE"), "file with the operators' token")
	f.BoolVar(&c.printJSON, "json", false, "print JSON for scripts")
	f.StringVar(&c.operator, "operator", envOr("USER", "operator"), "operator name that is recorded in the history")
	f.StringVar(&c.comment, "comment", "", "reason that is recorded in the history")
	root.AddCommand(c.treeCommand(), c.teamCommand(), c.keyCommand(), c.zoneCommand(), c.vmCommand(), c.dumpCommand(), c.serviceCommand(), c.codeCommand(), c.explainCommand())
	return root
}

func envOr(name, fallback string) string {
	if v := os.Getenv(name); v != "" {
		return v
	}
	return fallback
}

func (c *cli) client() (*operatorclient.Client, error) {
	token, err := c.token()
	if err != nil {
		return nil, err
	}
	return operatorclient.New(c.address, token), nil
}

func (c *cli) token() (string, error) {
	if c.tokenFile == "" {
		return "", errors.Wrap(errUsage, "set --token-file or TILLERCTL_TOKEN_FILE")
	}
	data, err := os.ReadFile(c.tokenFile)
	if err != nil {
		return "", errors.Wrap(err, "read token")
	}
	return strings.TrimSpace(string(data)), nil
}

// show prints value as JSON if --json is set, and otherwise a table with the given header and rows.
func (c *cli) show(value any, header string, rows func(add func(columns ...any))) error {
	if c.printJSON {
		data, err := json.MarshalIndent(value, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode output")
		}
		_, err = fmt.Fprintln(c.out, string(data))
		return err
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	if header != "" {
		_, _ = fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	}
	rows(func(columns ...any) {
		texts := make([]string, 0, len(columns))
		for _, column := range columns {
			texts = append(texts, fmt.Sprint(column))
		}
		_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
	})
	return w.Flush()
}

// propose submits an edit and prints its result. If base is 0, the edit is based on the newest revision.
func (c *cli) propose(cmd *cobra.Command, base uint64, changes []operator.Change) error {
	client, err := c.client()
	if err != nil {
		return err
	}
	if base == 0 {
		current, err := client.Tree(cmd.Context(), "/zones")
		if err != nil {
			return err
		}
		base = current.Revision
	}
	v, determined, err := client.Edit(cmd.Context(), operator.Edit{Base: base, Operator: c.operator, Comment: c.comment, Changes: changes})
	if err != nil {
		return err
	}
	if err := c.show(v, "", func(add func(...any)) { add(verdictText(v, determined)) }); err != nil {
		return err
	}
	switch {
	case !determined:
		return errUndetermined
	case !v.Accepted:
		return errRejected
	default:
		return nil
	}
}

func verdictText(v operator.Verdict, determined bool) string {
	switch {
	case !determined:
		return fmt.Sprintf("edit %s: %s", v.ID, v.Reason)
	case v.Accepted:
		return fmt.Sprintf("edit %s: accepted as revision %d", v.ID, v.Offset)
	default:
		return fmt.Sprintf("edit %s: not accepted: %s", v.ID, v.Reason)
	}
}
