package dev

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/mallowlink/mallowlink/pkg/ctl/dev/load"
	"github.com/mallowlink/mallowlink/pkg/standin/service"
)

// Defaults of the load.
const (
	defaultRate        = 20 // requests a second
	defaultDuration    = 10 * time.Second
	defaultZipf        = 1.0
	defaultTokens      = 32
	defaultBatchTokens = 128
	defaultPromptBytes = 200
	defaultTimeout     = 30 * time.Second
	defaultMaxInFlight = 4096
)

// loadFlags are the flags that need reading before they become load.Options.
type loadFlags struct {
	accountsFile string
	adaptersFile string
	adapters     int
	pattern      string
	authority    string
	ran          []string
	strict       bool
}

func newLoadCommand() *cobra.Command {
	var opts load.Options
	var flags loadFlags
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send requests at a given rate and tell how they were answered",
		Long: `load sends requests at their planned times, whether or not earlier ones have been answered, and
counts every time from the planned one. It checks that each answer is whole and its request's own.
Given the stand-ins' base URLs by --ran, it also checks what ran there: nothing twice that may not be
repeated, nothing lost, nothing that was refused as not run, and no caller's key.

Lines of the accounts file are "account key [weight]", those of the adapters file, by popularity,
"model [account ...]" for the client accounts that may use the model. Lines that begin with # are
skipped.`,
		Example: `  mallowlinkctl dev load --entry http://127.0.0.1:8080 --accounts keys.txt --adapters 100 --rate 50
  mallowlinkctl dev load --entry http://127.0.0.1:8080 --accounts keys.txt --adapters-file adapters.txt \
    --service-share 0.2 --service-path /issues --ran http://127.0.0.1:7101 --ran http://127.0.0.1:7201 --strict`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return runLoad(cmd, opts, flags) },
	}
	addLoadFlags(cmd, &opts, &flags)
	return cmd
}

func addLoadFlags(cmd *cobra.Command, opts *load.Options, flags *loadFlags) {
	f := cmd.Flags()
	f.StringArrayVar(&opts.Entries, "entry", nil, "base URL of an entry VM; may be repeated")
	f.Float64Var(&opts.Rate, "rate", defaultRate, "requests a second")
	f.DurationVar(&opts.Duration, "duration", defaultDuration, "how long requests are sent")
	f.Uint64Var(&opts.Seed, "seed", 1, "seed of the plan")
	f.StringVar(&flags.authority, "ca", "", "file of the certificate authority of https entries")
	f.StringVar(&flags.accountsFile, "accounts", "", "file of client accounts and their keys")
	f.StringVar(&flags.adaptersFile, "adapters-file", "", "file of model names")
	f.IntVar(&flags.adapters, "adapters", 0, "number of model names that are made by --adapter-pattern")
	f.StringVar(&flags.pattern, "adapter-pattern", "adapter-%04d", "model name for a number from 0")
	f.Float64Var(&opts.Zipf, "zipf", defaultZipf, "exponent of the adapters' popularity")
	f.Float64Var(&opts.StreamShare, "stream-share", 0.5, "share of completions that are streams")
	f.Float64Var(&opts.BatchShare, "batch-share", 0.2, "share of completions of class batch")
	f.Float64Var(&opts.ServiceShare, "service-share", 0, "share of requests to the plain service")
	f.StringVar(&opts.ServicePath, "service-path", service.IssuesPath, "path of the requests to the plain service")
	f.IntVar(&opts.Tokens, "tokens", defaultTokens, "tokens of an interactive answer")
	f.IntVar(&opts.BatchTokens, "batch-tokens", defaultBatchTokens, "tokens of a batch answer")
	f.IntVar(&opts.PromptBytes, "prompt-bytes", defaultPromptBytes, "length of prompts")
	f.DurationVar(&opts.Timeout, "timeout", defaultTimeout, "time that a request is given")
	f.IntVar(&opts.MaxInFlight, "max-in-flight", defaultMaxInFlight, "requests in flight beyond which none is sent")
	f.StringArrayVar(&flags.ran, "ran", nil, "base URL of a stand-in whose record is checked; may be repeated")
	f.BoolVar(&flags.strict, "strict", false, "fail if an answer was wrong or cut, or the record shows a fault")
}

func runLoad(cmd *cobra.Command, opts load.Options, flags loadFlags) error {
	var err error
	if opts.Accounts, err = readAccounts(flags.accountsFile); err != nil {
		return err
	}
	if opts.Adapters, err = readAdapters(flags); err != nil {
		return err
	}
	if opts.TLS, err = readAuthority(flags.authority); err != nil {
		return err
	}
	report, err := load.Run(cmd.Context(), opts)
	if err != nil {
		return err
	}
	report.Write(cmd.OutOrStdout())
	bad := report.Bad()
	if len(flags.ran) > 0 {
		audit, err := report.Check(cmd.Context(), flags.ran, opts.Accounts)
		if err != nil {
			return err
		}
		audit.Write(cmd.OutOrStdout())
		bad += audit.Bad()
	}
	if flags.strict && bad > 0 {
		return errors.Errorf("%d requests went wrong", bad)
	}
	return nil
}

// readAuthority returns the TLS configuration of https entries; nil for the system's.
func readAuthority(path string) (*tls.Config, error) {
	if path == "" {
		return nil, nil
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, errors.Errorf("%s holds no certificate", path)
	}
	return &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}, nil
}

// readAccounts reads the file of client accounts. Its errors hold no key.
func readAccounts(path string) ([]load.Account, error) {
	lines, err := readLines(path)
	if err != nil {
		return nil, err
	}
	accounts := make([]load.Account, 0, len(lines))
	for _, line := range lines {
		account := load.Account{Weight: 1}
		switch fields := line.fields; len(fields) {
		case 3:
			if account.Weight, err = strconv.ParseFloat(fields[2], 64); err != nil || account.Weight < 0 {
				return nil, errors.Errorf("%s:%d: weight is not a number", path, line.number)
			}
			fallthrough
		case 2:
			account.Name, account.Key = fields[0], fields[1]
		default:
			return nil, errors.Errorf("%s:%d: want an account, a key and perhaps a weight", path, line.number)
		}
		accounts = append(accounts, account)
	}
	return accounts, nil
}

func readAdapters(flags loadFlags) ([]load.Adapter, error) {
	if flags.adaptersFile == "" {
		adapters := make([]load.Adapter, flags.adapters)
		for i := range adapters {
			adapters[i].Model = fmt.Sprintf(flags.pattern, i)
		}
		return adapters, nil
	}
	lines, err := readLines(flags.adaptersFile)
	if err != nil {
		return nil, err
	}
	adapters := make([]load.Adapter, len(lines))
	for i, line := range lines {
		adapters[i] = load.Adapter{Model: line.fields[0], Accounts: line.fields[1:]}
	}
	return adapters, nil
}

// line is a line of a file that is neither blank nor a comment.
type line struct {
	number int
	fields []string
}

func readLines(path string) ([]line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	var lines []line
	scanner := bufio.NewScanner(file)
	for number := 1; scanner.Scan(); number++ {
		fields := strings.Fields(scanner.Text())
		if len(fields) > 0 && !strings.HasPrefix(fields[0], "#") {
			lines = append(lines, line{number: number, fields: fields})
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, path)
	}
	return lines, nil
}
