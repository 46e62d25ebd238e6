package cmds

import (
	"context"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"io"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"mangowing/mango/opsapi"
	"mangowing/mango/show"
)

const (
	keyBytes      = 32
	keyFileMode   = 0o600
	hashHexDigits = 64
)

type keyAPI interface {
	Keys(ctx context.Context) ([]opsapi.KeyRow, error)
	GrantKey(ctx context.Context, team, label, hash string) (opsapi.Result, error)
	WithdrawKey(ctx context.Context, hash string) (opsapi.Result, error)
}

func (c *CLI) keyCommand() *cobra.Command {
	return commandGroup("key", "Grant, withdraw and list the teams' keys", c.keyGrantCommand(), c.keyWithdrawCommand(), c.keyListCommand())
}

func (c *CLI) keyGrantCommand() *cobra.Command {
	var label, file string
	cmd := &cobra.Command{
		Use:   "grant TEAM",
		Short: "Make a key for a team and show it once",
		Long: `Grant makes a key of 256 random bits on this machine. Only its SHA-256 hash goes to the gates; the key itself
is printed once, or written to a file that only its owner can read.`,
		Example: "  mango key grant buyers --label \"order desk\"\n  mango key grant buyers --key-file buyers.key",
		Args:    exactArgs("TEAM"),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			return c.grant(cmd.Context(), ops, args[0], label, file)
		}),
	}
	cmd.Flags().StringVar(&label, "label", "", "what the key is for")
	cmd.Flags().StringVar(&file, "key-file", "", "new file to write the key to in place of printing it")
	return cmd
}

func (c *CLI) grant(ctx context.Context, keys keyAPI, team, label, file string) error {
	raw := make([]byte, keyBytes)
	if _, err := io.ReadFull(c.options.Random, raw); err != nil {
		return err
	}
	key := base64.RawURLEncoding.EncodeToString(raw)
	if file != "" {
		if err := writeNewFile(file, key+"\n"); err != nil {
			return usagef("%s", err)
		}
	}
	hash := hashKey(key)
	result, err := keys.GrantKey(ctx, team, label, hash)
	if err != nil {
		return handleGrantError(err, file, hash)
	}
	if file != "" {
		key = ""
	}
	return c.print(show.NewGrantedKey(key, hash, team, result))
}

func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func writeNewFile(path, text string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return err
	}
	if _, err := io.WriteString(f, text); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

// grantError adds the key's hash to a grant whose outcome is unknown, so that the operator can withdraw the key.
type grantError struct {
	err  error
	hash string
}

func (g *grantError) Error() string {
	return g.err.Error() + "\n  if mango key list shows it, withdraw it: mango key withdraw " + g.hash
}

func (g *grantError) Unwrap() error { return g.err }

func handleGrantError(err error, file, hash string) error {
	if ExitCode(err) == ExitUnknown {
		return &grantError{err, hash}
	}
	if file != "" {
		_ = os.Remove(file)
	}
	return err
}

func (c *CLI) keyWithdrawCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "withdraw HASH-OR-PREFIX",
		Short:   "End a key for good",
		Example: "  mango key withdraw 1f3a9c",
		Args:    exactArgs("HASH-OR-PREFIX"),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			hash, err := resolveHash(cmd.Context(), ops, strings.ToLower(args[0]))
			if err != nil {
				return err
			}
			result, err := ops.WithdrawKey(cmd.Context(), hash)
			return c.printResult(result, addGateWithdrawal(cmd.Context(), ops, hash, err))
		}),
	}
}

// partialWithdrawalError reports a withdrawal that the reachable gates apply although the platform's log has not
// accepted it yet.
type partialWithdrawalError struct {
	err error
}

func (w *partialWithdrawalError) Error() string {
	return w.err.Error() + "\n  the gates that can be reached refuse the key already; withdraw it again when the log is back"
}

func (w *partialWithdrawalError) Unwrap() error { return w.err }

// addGateWithdrawal adds to an unknown outcome that a gate already lists the key as withdrawn.
func addGateWithdrawal(ctx context.Context, keys keyAPI, hash string, err error) error {
	if ExitCode(err) != ExitUnknown {
		return err
	}
	rows, listErr := keys.Keys(ctx)
	if listErr != nil {
		return err
	}
	for _, row := range rows {
		if row.Hash() == hash && row.IsWithdrawn() {
			return &partialWithdrawalError{err}
		}
	}
	return err
}

// resolveHash returns the hash of the only key whose hash begins with the prefix. A full hash is returned without
// listing the keys.
func resolveHash(ctx context.Context, keys keyAPI, prefix string) (string, error) {
	if _, err := hex.DecodeString(prefix); err == nil && len(prefix) == hashHexDigits {
		return prefix, nil
	}
	rows, err := keys.Keys(ctx)
	if err != nil {
		return "", err
	}
	var matches []string
	for _, row := range rows {
		if prefix != "" && strings.HasPrefix(row.Hash(), prefix) {
			matches = append(matches, row.Hash())
		}
	}
	switch len(matches) {
	case 1:
		return matches[0], nil
	case 0:
		return "", &localRefusalError{"no key's hash begins with " + prefix}
	default:
		return "", &localRefusalError{"several keys' hashes begin with " + prefix + ":\n  " + strings.Join(matches, "\n  ")}
	}
}

func (c *CLI) keyListCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List all keys by the hash's first digits",
		Example: "  mango key list --output json",
		Args:    exactArgs(),
		RunE: c.withOperatorAPI(func(cmd *cobra.Command, _ []string, ops OperatorAPI) error {
			rows, err := ops.Keys(cmd.Context())
			if err != nil {
				return err
			}
			return c.print(show.NewKeys(rows))
		}),
	}
}
