package ctl

import (
	"bufio"
	"crypto/ed25519"
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/mallowlink/mallowlink/pkg/bundle"
)

const (
	// keyBytes is the randomness of a caller's key.
	keyBytes = 32
	// keyPrefix marks callers' keys, so that a key in the wrong place is found.
	keyPrefix = "mlk-"
)

func newKeyCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "key", Short: "Make callers' keys and signers' keys"}
	cmd.AddCommand(newNewKeyCommand(), newHashKeyCommand(), newSignerCommand())
	return cmd
}

func newNewKeyCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "new NAME",
		Short:   "Make a caller's key and its section for the bundle",
		Long:    "Make a caller's key. It is shown once and kept nowhere: the bundle holds its SHA-256 only.",
		Example: "  mallowlinkctl key new lab-7 --account schools",
		Args:    cobra.ExactArgs(1),
	}
	account := cmd.Flags().String("account", "", "client account that the key belongs to")
	_ = cmd.MarkFlagRequired("account")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		raw := make([]byte, keyBytes)
		if _, err := rand.Read(raw); err != nil {
			return errors.Wrap(err, "key")
		}
		key := keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
		fmt.Fprintf(cmd.OutOrStdout(), "# key for the caller: %s\n[key %s]\naccount = %s\nsha256 = %s\n",
			key, args[0], *account, bundle.HashKey(key))
		return nil
	}
	return cmd
}

func newHashKeyCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "hash",
		Short:   "Print the SHA-256 of a caller's key read from standard input",
		Example: "  mallowlinkctl key hash < key.txt",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			line, err := bufio.NewReader(cmd.InOrStdin()).ReadString('\n')
			key := strings.TrimRight(line, "\r\n")
			if key == "" {
				return errors.Errorf("no key on standard input (%v)", err)
			}
			fmt.Fprintln(cmd.OutOrStdout(), bundle.HashKey(key))
			return nil
		},
	}
}

func newSignerCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:     "signer",
		Short:   "Make a signer's ed25519 key pair",
		Long:    "Make an ed25519 key pair. The private key goes to a new file, the public key, for the settings, to standard output.",
		Example: "  mallowlinkctl key signer --out alice.key",
		Args:    cobra.NoArgs,
	}
	out := cmd.Flags().String("out", "", "file for the private key")
	_ = cmd.MarkFlagRequired("out")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		public, private, err := ed25519.GenerateKey(rand.Reader)
		if err != nil {
			return errors.Wrap(err, "signer")
		}
		if err := writeNew(*out, []byte(hex.EncodeToString(private.Seed())+"\n"), privateMode); err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), hex.EncodeToString(public))
		return nil
	}
	return cmd
}
