package app

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"

	"github.com/azuretiller/azuretiller"
	"github.com/azuretiller/azuretiller/pkg/operator"
	"github.com/azuretiller/azuretiller/pkg/operatorclient"
	"github.com/azuretiller/azuretiller/pkg/tree"
)

const keyBytes = 32

func (t *cli) teamCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "team", Short: "Create and remove teams"}
	cmd.AddCommand(
		&cobra.Command{
			Use:   "create PATH",
			Short: "Make a team, for example /teams/large/alder",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return t.propose(cmd, 0, []operator.Change{{Kind: "make", Path: args[0] + "/keys"}})
			},
		},
		&cobra.Command{
			Use:   "remove PATH",
			Short: "Delete a team with its keys",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return t.propose(cmd, 0, []operator.Change{{Kind: "delete", Path: args[0]}})
			},
		},
	)
	return cmd
}

func (t *cli) keyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Grant, withdraw and list keys"}
	cmd.AddCommand(t.keyGrant(), t.keyWithdraw(), t.keyList())
	return cmd
}

func (t *cli) keyGrant() *cobra.Command {
	var label string
	cmd := &cobra.Command{
		Use:   "grant TEAM_PATH",
		Short: "Make a key for a team and print it; only its hash is kept",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			secret := make([]byte, keyBytes)
			if _, err := rand.Read(secret); err != nil {
				return errors.Wrap(err, "generate key")
			}
			key := hex.EncodeToString(secret)
			path := args[0] + "/keys/" + string(azuretiller.HashKey(key))
			if err := t.propose(cmd, 0, []operator.Change{{Kind: "set", Path: path, Field: "label", Value: strconv.Quote(label)}}); err != nil {
				return err
			}
			_, err := fmt.Fprintln(t.out, key)
			return err
		},
	}
	cmd.Flags().StringVar(&label, "label", "", "note that stands beside the key")
	return cmd
}

func (t *cli) keyWithdraw() *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw TEAM_PATH KEY_OR_HASH",
		Short: "Withdraw a key, given itself or by its hash",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := t.client()
			if err != nil {
				return err
			}
			keys := args[0] + "/keys/"
			current, err := c.Tree(cmd.Context(), args[0]+"/keys")
			if err != nil {
				return err
			}
			for _, b := range current.Branches {
				if b.Path == keys+args[1] || b.Path == keys+string(azuretiller.HashKey(args[1])) {
					return t.propose(cmd, current.Revision, []operator.Change{{Kind: "delete", Path: b.Path}})
				}
			}
			return errors.Newf("team %s has no such key", args[0])
		},
	}
}

func (t *cli) keyList() *cobra.Command {
	return &cobra.Command{
		Use:   "list [TEAM_PATH]",
		Short: "List the hashes of the keys of a team, or of all teams",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c, err := t.client()
			if err != nil {
				return err
			}
			path := "/teams"
			if len(args) > 0 {
				path = args[0]
			}
			current, err := c.Tree(cmd.Context(), path)
			if err != nil {
				return err
			}
			var keys []operator.Branch
			for _, b := range current.Branches {
				if tree.Base(tree.Parent(b.Path)) == "keys" {
					keys = append(keys, b)
				}
			}
			return t.show(keys, "TEAM HASH LABEL", func(add func(...any)) {
				for _, b := range keys {
					add(tree.Parent(tree.Parent(b.Path)), tree.Base(b.Path), b.Fields["label"])
				}
			})
		},
	}
}

func (t *cli) zoneCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "zone", Short: "Take availability zones out and bring them back"}
	for _, c := range []struct{ use, short, value string }{
		{"out ZONE", "Take a zone out: it gets no new work", "true"},
		{"in ZONE", "Bring a zone back", "false"},
	} {
		cmd.AddCommand(&cobra.Command{
			Use:   c.use,
			Short: c.short,
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return t.propose(cmd, 0, []operator.Change{{Kind: "set", Path: "/zones/" + args[0], Field: "out", Value: c.value}})
			},
		})
	}
	return cmd
}

func (t *cli) dump(cmd *cobra.Command) (operator.Dump, error) {
	c, err := t.client()
	if err != nil {
		return operator.Dump{}, err
	}
	return c.Dump(cmd.Context())
}

func (t *cli) vmCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "vm", Short: "Show the VMs of the fleet"}
	cmd.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List the roster as one VM sees it",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := t.dump(cmd)
			if err != nil {
				return err
			}
			return t.show(d.VMs, "VM ZONE STATE CALLER OPERATOR", func(add func(...any)) {
				for _, vm := range d.VMs {
					add(vm.ID, vm.Zone, vm.State, vm.Caller, vm.Operator)
				}
			})
		},
	})
	return cmd
}

func (t *cli) dumpCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "dump",
		Short: "Print the state of one VM as JSON",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := t.dump(cmd)
			if err != nil {
				return err
			}
			t.asJSON = true
			return t.show(d, "", nil)
		},
	}
}

func (t *cli) serviceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "service [NAME]",
		Short: "Show the backend servers of a service as the homes of its pools see them, and why",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := t.dump(cmd)
			if err != nil {
				return err
			}
			rows, err := t.collectServers(cmd, d, args)
			if err != nil {
				return err
			}
			return t.show(rows, "POOL SERVER PHASE REASON BUSY ELSEWHERE LIMIT DRAINING COLD SUSPICION EJECTIONS OUT_FOR", func(add func(...any)) {
				for _, s := range rows {
					add(s.Pool, s.Server, s.Phase, s.Reason, s.Busy, s.RemoteBusy, s.Limit, s.Draining, s.Cold, fmt.Sprintf("%.2f", s.Suspicion), s.Ejections, s.EjectionLeft)
				}
			})
		},
	}
}

// collectServers returns the backend servers of the service in names, or of all services if names is empty. It reads each pool
// from the VM that owns the pool and skips VMs that do not respond.
func (t *cli) collectServers(cmd *cobra.Command, d operator.Dump, names []string) ([]operator.Server, error) {
	token, err := t.token()
	if err != nil {
		return nil, err
	}
	var out []operator.Server
	for _, vm := range d.VMs {
		other, err := operatorclient.New(vm.Operator, token).Dump(cmd.Context())
		if err != nil {
			_, _ = fmt.Fprintf(cmd.ErrOrStderr(), "VM %s did not respond: %v\n", vm.ID, err)
			continue
		}
		for _, s := range other.Servers {
			service, _, _ := strings.Cut(s.Pool, "/")
			if d.Pools[s.Pool] == vm.ID && (len(names) == 0 || names[0] == service) {
				out = append(out, s)
			}
		}
	}
	return out, nil
}

func (t *cli) codeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "code NUMBER",
		Short: "Explain the result code of a refusal",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			n, err := strconv.Atoi(args[0])
			if err != nil {
				return errors.Wrapf(errUsage, "%q is not a number", args[0])
			}
			info, ok := azuretiller.LookupCode(azuretiller.Code(n))
			if !ok {
				return errors.Newf("unknown result code %d", n)
			}
			return t.show(info, "", func(add func(...any)) {
				add(fmt.Sprintf("%d %s (HTTP %d, %s): %s", info.Code, info.Name, info.Status, info.Outcome, info.Meaning))
			})
		},
	}
}
