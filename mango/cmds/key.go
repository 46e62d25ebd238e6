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
	keyBytes    = 32
	keyFileMode = 0o600
	hashDigits  = 64
)

type keyring interface {
	Keys(ctx context.Context) ([]opsapi.KeyRow, error)
	GrantKey(ctx context.Context, team, label, hash string) (opsapi.Result, error)
	WithdrawKey(ctx context.Context, hash string) (opsapi.Result, error)
}

func (s *CLI) keyCommand() *cobra.Command {
	return group("key", "Grant, withdraw and list the teams' keys", s.keyGrantCommand(), s.keyWithdrawCommand(), s.keyListCommand())
}

func (s *CLI) keyGrantCommand() *cobra.Command {
	var label, file string
	cmd := &cobra.Command{
		Use:   "grant TEAM",
		Short: "Make a key for a team and show it once",
		Long: `Grant makes a key of 256 random bits on this machine. Only its SHA-256 hash goes to the gates; the key itself
is printed once, or written to a file that only its owner can read.`,
		Example: "  mango key grant buyers --label \"order desk\"\n  mango key grant buyers --key-file buyers.key",
		Args:    exactArgs("TEAM"),
		RunE: s.withOperators(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			return s.grant(cmd.Context(), ops, args[0], label, file)
		}),
	}
	cmd.Flags().StringVar(&label, "label", "", "what the key is for")
	cmd.Flags().StringVar(&file, "key-file", "", "new file to write the key to in place of printing it")
	return cmd
}

func (s *CLI) grant(ctx context.Context, keys keyring, team, label, file string) error {
	raw := make([]byte, keyBytes)
	if _, err := io.ReadFull(s.spec.Random, raw); err != nil {
		return err
	}
	key := base64.RawURLEncoding.EncodeToString(raw)
	if file != "" {
		if err := writeNewFile(file, key+"\n"); err != nil {
			return usagef("%s", err)
		}
	}
	hash := hashOf(key)
	result, err := keys.GrantKey(ctx, team, label, hash)
	if err != nil {
		return grantFailed(err, file, hash)
	}
	if file != "" {
		key = ""
	}
	return s.print(show.NewGrantedKey(key, hash, team, result))
}

func hashOf(key string) string {
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

// grantError names the hash of a key whose grant did not surely succeed, so that it can be withdrawn.
type grantError struct {
	cause error
	hash  string
}

func (g *grantError) Error() string {
	return g.cause.Error() + "\n  if mango key list shows it, withdraw it: mango key withdraw " + g.hash
}

func (g *grantError) Unwrap() error { return g.cause }

func grantFailed(err error, file, hash string) error {
	if ExitCode(err) == ExitUnknown {
		return &grantError{err, hash}
	}
	if file != "" {
		_ = os.Remove(file)
	}
	return err
}

func (s *CLI) keyWithdrawCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "withdraw HASH-OR-PREFIX",
		Short:   "End a key for good",
		Example: "  mango key withdraw 1f3a9c",
		Args:    exactArgs("HASH-OR-PREFIX"),
		RunE: s.withOperators(func(cmd *cobra.Command, args []string, ops OperatorAPI) error {
			hash, err := fullHash(cmd.Context(), ops, strings.ToLower(args[0]))
			if err != nil {
				return err
			}
			result, err := ops.WithdrawKey(cmd.Context(), hash)
			return s.printResult(result, stoppedAlready(cmd.Context(), ops, hash, err))
		}),
	}
}

// withdrawalError is a withdrawal that gates obey although the platform's log has not taken it yet.
type withdrawalError struct {
	cause error
}

func (w *withdrawalError) Error() string {
	return w.cause.Error() + "\n  the gates that can be reached refuse the key already; withdraw it again when the log is back"
}

func (w *withdrawalError) Unwrap() error { return w.cause }

// stoppedAlready adds to an unknown outcome whether the key was stopped at once.
func stoppedAlready(ctx context.Context, keys keyring, hash string, err error) error {
	if ExitCode(err) != ExitUnknown {
		return err
	}
	rows, listErr := keys.Keys(ctx)
	if listErr != nil {
		return err
	}
	for _, row := range rows {
		if row.Hash() == hash && row.IsWithdrawn() {
			return &withdrawalError{err}
		}
	}
	return err
}

// fullHash returns the one key's hash that begins with the prefix; a whole hash needs no list.
func fullHash(ctx context.Context, keys keyring, prefix string) (string, error) {
	if _, err := hex.DecodeString(prefix); err == nil && len(prefix) == hashDigits {
		return prefix, nil
	}
	rows, err := keys.Keys(ctx)
	if err != nil {
		return "", err
	}
	var found []string
	for _, row := range rows {
		if prefix != "" && strings.HasPrefix(row.Hash(), prefix) {
			found = append(found, row.Hash())
		}
	}
	switch len(found) {
	case 1:
		return found[0], nil
	case 0:
		return "", &faultsError{"no key's hash begins with " + prefix}
	default:
		return "", &faultsError{"several keys' hashes begin with " + prefix + ":\n  " + strings.Join(found, "\n  ")}
	}
}

func (s *CLI) keyListCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "list",
		Short:   "List all keys by the hash's first digits",
		Example: "  mango key list --output json",
		Args:    exactArgs(),
		RunE: s.withOperators(func(cmd *cobra.Command, _ []string, ops OperatorAPI) error {
			rows, err := ops.Keys(cmd.Context())
			if err != nil {
				return err
			}
			return s.print(show.NewKeys(rows))
		}),
	}
}
