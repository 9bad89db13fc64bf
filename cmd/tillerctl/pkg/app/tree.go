package app

import (
	"encoding/json"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"github.com/azuretiller/azuretiller/pkg/operator"
	"github.com/azuretiller/azuretiller/pkg/tree"
)

func (c *cli) treeCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "tree", Short: "Read and edit the settings tree"}
	cmd.AddCommand(c.treeGet(), c.treeSet(), c.treeUnset(), c.treeDelete(), c.treeEdit(), c.treeApply(), c.treeExplain(), c.treeHistory())
	return cmd
}

func (c *cli) treeGet() *cobra.Command {
	return &cobra.Command{
		Use:   "get [PATH]",
		Short: "Print the branches at and below a path with their fields, without inherited ones",
		Args:  cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			out, err := client.Tree(cmd.Context(), pathArg(args))
			if err != nil {
				return err
			}
			return c.show(out, "PATH FIELD VALUE", func(add func(...any)) {
				for _, b := range out.Branches {
					if len(b.Fields) == 0 {
						add(b.Path, "", "")
					}
					for _, name := range sortedNames(b.Fields) {
						add(b.Path, name, b.Fields[name])
					}
				}
				add("revision", out.Revision, "")
			})
		},
	}
}

func pathArg(args []string) string {
	if len(args) == 0 {
		return "/"
	}
	return args[0]
}

func (c *cli) treeSet() *cobra.Command {
	var base uint64
	cmd := &cobra.Command{
		Use:     "set PATH FIELD=VALUE...",
		Short:   "Set fields of a branch; values are JSON, and any other text is taken as a string",
		Example: "  tillerctl tree set /teams/alder rate=70 burst=100\n  tillerctl tree set /services/orders timeout=5s",
		Args:    cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var changes []operator.Change
			for _, pair := range args[1:] {
				name, value, ok := strings.Cut(pair, "=")
				if !ok {
					return errors.Wrapf(errUsage, "%q is not FIELD=VALUE", pair)
				}
				changes = append(changes, operator.Change{Kind: "set", Path: args[0], Field: name, Value: encodeValue(value)})
			}
			return c.propose(cmd, base, changes)
		},
	}
	cmd.Flags().Uint64Var(&base, "base", 0, "revision that the edit is based on (default: the newest)")
	return cmd
}

// encodeValue returns value unchanged if it is valid JSON, and encodes it as a JSON string otherwise.
func encodeValue(value string) string {
	if json.Valid([]byte(value)) {
		return value
	}
	data, err := json.Marshal(value)
	if err != nil {
		return value
	}
	return string(data)
}

func (c *cli) treeUnset() *cobra.Command {
	return &cobra.Command{
		Use:   "unset PATH FIELD...",
		Short: "Remove fields of a branch, so that it inherits them again",
		Args:  cobra.MinimumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			var changes []operator.Change
			for _, name := range args[1:] {
				changes = append(changes, operator.Change{Kind: "unset", Path: args[0], Field: name})
			}
			return c.propose(cmd, 0, changes)
		},
	}
}

func (c *cli) treeDelete() *cobra.Command {
	return &cobra.Command{
		Use:   "delete PATH",
		Short: "Delete a branch and all branches below it",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.propose(cmd, 0, []operator.Change{{Kind: "delete", Path: args[0]}})
		},
	}
}

func (c *cli) treeEdit() *cobra.Command {
	return &cobra.Command{
		Use:   "edit FILE",
		Short: "Propose the edit in a JSON file: {base, changes: [{kind, path, field, value}]}",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var e operator.Edit
			if err := readFile(args[0], &e); err != nil {
				return err
			}
			return c.propose(cmd, e.Base, e.Changes)
		},
	}
}

// treeApply returns the command that sets and unsets fields so that the branches listed in a file equal the file. Other
// branches are not changed.
func (c *cli) treeApply() *cobra.Command {
	return &cobra.Command{
		Use:   "apply FILE",
		Short: "Set and unset fields so that the branches in a file (path: {field: value}) match it; other branches are not changed",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var wanted map[string]map[string]json.RawMessage
			if err := readFile(args[0], &wanted); err != nil {
				return err
			}
			client, err := c.client()
			if err != nil {
				return err
			}
			current, err := client.Tree(cmd.Context(), "/")
			if err != nil {
				return err
			}
			changes := diffBranches(current, wanted)
			if len(changes) == 0 {
				return c.show([]string{}, "", func(add func(...any)) { add("nothing to change") })
			}
			return c.propose(cmd, current.Revision, changes)
		},
	}
}

// diffBranches returns the changes that turn the current fields of each wanted branch into the wanted ones.
func diffBranches(current operator.Tree, wanted map[string]map[string]json.RawMessage) []operator.Change {
	currentFields := map[string]map[string]string{}
	for _, b := range current.Branches {
		currentFields[b.Path] = b.Fields
	}
	var changes []operator.Change
	for _, path := range sortedNames(wanted) {
		fields, exists := currentFields[path]
		if !exists {
			changes = append(changes, operator.Change{Kind: "make", Path: path})
		}
		for _, name := range sortedNames(wanted[path]) {
			value := string(wanted[path][name])
			if fields[name] != value {
				changes = append(changes, operator.Change{Kind: "set", Path: path, Field: name, Value: value})
			}
		}
		for _, name := range sortedNames(fields) {
			if _, ok := wanted[path][name]; !ok {
				changes = append(changes, operator.Change{Kind: "unset", Path: path, Field: name})
			}
		}
	}
	return changes
}

func readFile(file string, into any) error {
	data, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read file")
	}
	data, err = hujson.Standardize(data)
	if err != nil {
		return errors.Wrapf(err, "parse %s", file)
	}
	return errors.Wrapf(json.Unmarshal(data, into), "parse %s", file)
}

func (c *cli) treeExplain() *cobra.Command {
	return &cobra.Command{
		Use:   "explain PATH",
		Short: "Print the effective fields of a branch and the branch each comes from",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := tree.CheckPath(args[0]); err != nil {
				return errors.Wrap(errUsage, err.Error())
			}
			client, err := c.client()
			if err != nil {
				return err
			}
			out, err := client.Explain(cmd.Context(), args[0])
			if err != nil {
				return err
			}
			return c.show(out, "FIELD VALUE FROM", func(add func(...any)) {
				for _, e := range out {
					source := e.Source
					if source == "" {
						source = "default"
					}
					add(e.Field, e.Value, source)
				}
			})
		},
	}
}

func (c *cli) treeHistory() *cobra.Command {
	return &cobra.Command{
		Use:   "history",
		Short: "List the latest log records and whether each was accepted",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			client, err := c.client()
			if err != nil {
				return err
			}
			out, err := client.History(cmd.Context())
			if err != nil {
				return err
			}
			return c.show(out, "OFFSET KIND ACCEPTED OPERATOR PATHS COMMENT REASON", func(add func(...any)) {
				for _, v := range out {
					add(v.Offset, v.Kind, v.Accepted, v.Operator, strings.Join(v.Paths, ","), v.Comment, v.Reason)
				}
			})
		},
	}
}
