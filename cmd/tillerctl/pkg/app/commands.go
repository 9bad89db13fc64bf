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

func (c *cli) teamCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "team", Short: "Create and remove teams"}
	cmd.AddCommand(
		&cobra.Command{
			Use:   "create PATH",
			Short: "Create a team, for example /teams/large/alder",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return c.propose(cmd, 0, []operator.Change{{Kind: "make", Path: args[0] + "/keys"}})
			},
		},
		&cobra.Command{
			Use:   "remove PATH",
			Short: "Delete a team with its keys",
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return c.propose(cmd, 0, []operator.Change{{Kind: "delete", Path: args[0]}})
			},
		},
	)
	return cmd
}

func (c *cli) keyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Grant, withdraw and list keys"}
	cmd.AddCommand(c.keyGrant(), c.keyWithdraw(), c.keyList())
	return cmd
}

func (c *cli) keyGrant() *cobra.Command {
	var label string
	cmd := &cobra.Command{
		Use:   "grant TEAM_PATH",
		Short: "Create a key for a team and print it; only its hash is stored",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			secret := make([]byte, keyBytes)
			if _, err := rand.Read(secret); err != nil {
				return errors.Wrap(err, "generate key")
			}
			key := hex.EncodeToString(secret)
			path := args[0] + "/keys/" + string(azuretiller.HashKey(key))
			if err := c.propose(cmd, 0, []operator.Change{{Kind: "set", Path: path, Field: "label", Value: strconv.Quote(label)}}); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.out, key)
			return err
		},
	}
	cmd.Flags().StringVar(&label, "label", "", "note that is stored with the key")
	return cmd
}

func (c *cli) keyWithdraw() *cobra.Command {
	return &cobra.Command{
		Use:   "withdraw TEAM_PATH KEY_OR_HASH",
		Short: "Withdraw a key, given as the key itself or as its hash",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			keys := args[0] + "/keys/"
			current, err := client.Tree(cmd.Context(), args[0]+"/keys")
			if err != nil {
				return err
			}
			for _, b := range current.Branches {
				if b.Path == keys+args[1] || b.Path == keys+string(azuretiller.HashKey(args[1])) {
					return c.propose(cmd, current.Revision, []operator.Change{{Kind: "delete", Path: b.Path}})
				}
			}
			return errors.Newf("team %s has no such key", args[0])
		},
	}
}

func (c *cli) keyList() *cobra.Command {
	return &cobra.Command{
		Use:   "list [TEAM_PATH]",
		Short: "List the hashes of the keys of a team, or of all teams",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			path := "/teams"
			if len(args) > 0 {
				path = args[0]
			}
			current, err := client.Tree(cmd.Context(), path)
			if err != nil {
				return err
			}
			var keys []operator.Branch
			for _, b := range current.Branches {
				if tree.Base(tree.Parent(b.Path)) == "keys" {
					keys = append(keys, b)
				}
			}
			return c.show(keys, "TEAM HASH LABEL", func(add func(...any)) {
				for _, b := range keys {
					add(tree.Parent(tree.Parent(b.Path)), tree.Base(b.Path), b.Fields["label"])
				}
			})
		},
	}
}

func (c *cli) zoneCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "zone", Short: "Take availability zones out of service and return them to service"}
	for _, direction := range []struct{ use, short, value string }{
		{"out ZONE", "Take a zone out of service, so that it gets no new requests", "true"},
		{"in ZONE", "Return a zone to service", "false"},
	} {
		cmd.AddCommand(&cobra.Command{
			Use:   direction.use,
			Short: direction.short,
			Args:  cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				return c.propose(cmd, 0, []operator.Change{{Kind: "set", Path: "/zones/" + args[0], Field: "out", Value: direction.value}})
			},
		})
	}
	return cmd
}

func (c *cli) dump(cmd *cobra.Command) (operator.Dump, error) {
	client, err := c.client()
	if err != nil {
		return operator.Dump{}, err
	}
	return client.Dump(cmd.Context())
}

func (c *cli) vmCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "vm", Short: "Show the VMs of the fleet"}
	cmd.AddCommand(&cobra.Command{
		Use:   "list",
		Short: "List the VMs of the fleet as known to one VM",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := c.dump(cmd)
			if err != nil {
				return err
			}
			return c.show(d.VMs, "VM ZONE STATE CALLER OPERATOR", func(add func(...any)) {
				for _, vm := range d.VMs {
					add(vm.ID, vm.Zone, vm.State, vm.Caller, vm.Operator)
				}
			})
		},
	})
	return cmd
}

func (c *cli) dumpCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "dump",
		Short: "Print the state of one VM as JSON",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			d, err := c.dump(cmd)
			if err != nil {
				return err
			}
			c.printJSON = true
			return c.show(d, "", nil)
		},
	}
}

func (c *cli) serviceCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "service [NAME]",
		Short: "Show the state of the backend servers of a service and the reason for it, as reported by the VMs that own its pools",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			d, err := c.dump(cmd)
			if err != nil {
				return err
			}
			rows, err := c.collectServers(cmd, d, args)
			if err != nil {
				return err
			}
			return c.show(rows, "POOL SERVER PHASE REASON BUSY ELSEWHERE LIMIT DRAINING COLD SUSPICION EJECTIONS OUT_FOR", func(add func(...any)) {
				for _, s := range rows {
					add(s.Pool, s.Server, s.Phase, s.Reason, s.Busy, s.RemoteBusy, s.Limit, s.Draining, s.Cold, fmt.Sprintf("%.2f", s.Suspicion), s.Ejections, s.EjectionLeft)
				}
			})
		},
	}
}

// collectServers returns the backend servers of the service in serviceNames, or of all services if serviceNames is empty. It reads
// each pool from the VM that owns the pool, and skips VMs that do not respond.
func (c *cli) collectServers(cmd *cobra.Command, d operator.Dump, serviceNames []string) ([]operator.Server, error) {
	token, err := c.token()
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
			if d.Pools[s.Pool] == vm.ID && (len(serviceNames) == 0 || serviceNames[0] == service) {
				out = append(out, s)
			}
		}
	}
	return out, nil
}

func (c *cli) codeCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "code NUMBER",
		Short: "Explain the result code of a refusal",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			n, err := strconv.Atoi(args[0])
			if err != nil {
				return errors.Wrapf(errUsage, "%q is not a whole number", args[0])
			}
			info, ok := azuretiller.LookupCode(azuretiller.Code(n))
			if !ok {
				return errors.Newf("unknown result code %d", n)
			}
			return c.show(info, "", func(add func(...any)) {
				add(fmt.Sprintf("%d %s (HTTP %d, %s): %s", info.Code, info.Name, info.Status, info.Outcome, info.Meaning))
			})
		},
	}
}
