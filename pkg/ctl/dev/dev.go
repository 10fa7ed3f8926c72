// Package dev holds the developers' commands: they run one stand-in each, or send load to a fleet.
package dev

import (
	"fmt"
	"net"
	"net/http"
	"strings"

	"github.com/go-faster/errors"
	"github.com/spf13/cobra"

	"github.com/mallowlink/mallowlink/pkg/platform"
	"github.com/mallowlink/mallowlink/pkg/standin"
	"github.com/mallowlink/mallowlink/pkg/standin/engine"
	"github.com/mallowlink/mallowlink/pkg/standin/object"
	"github.com/mallowlink/mallowlink/pkg/standin/service"
	"github.com/mallowlink/mallowlink/pkg/standin/table"
	"github.com/mallowlink/mallowlink/pkg/standin/vmlist"
	"github.com/mallowlink/mallowlink/pkg/standin/weights"
)

// defaultListen takes any free port on the loopback interface.
const defaultListen = "127.0.0.1:0"

// NewCommand returns the command "dev". Its context ends when the process is told to stop.
func NewCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run stand-ins and send load",
		Long: "dev runs small in-memory replacements of the platform's services and of endpoints. " +
			"Each runs until SIGTERM, keeps nothing, and shows the faults that are posted to /faults.",
		Example: `  mallowlinkctl dev table --listen 127.0.0.1:7001
  curl -d '{"kind":"lost-reply","count":1}' http://127.0.0.1:7001/faults`,
	}
	cmd.AddCommand(
		newTableCommand(),
		newObjectsCommand(),
		newVMListCommand(),
		newWeightsCommand(),
		newEngineCommand(),
		newServiceCommand(),
		newLoadCommand(),
	)
	return cmd
}

// newStandIn returns a command that runs a stand-in.
func newStandIn(use, short, example string, build func() (http.Handler, error)) *cobra.Command {
	var listen string
	cmd := &cobra.Command{
		Use:     use,
		Short:   short,
		Example: example,
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			handler, err := build()
			if err != nil {
				return err
			}
			return standin.Run(cmd.Context(), listen, handler, func(address net.Addr) {
				fmt.Fprintf(cmd.OutOrStdout(), "event=listening standin=%s url=http://%s\n", use, address)
			})
		},
	}
	cmd.Flags().StringVar(&listen, "listen", defaultListen, "address to listen on")
	return cmd
}

func newTableCommand() *cobra.Command {
	return newStandIn("table", "Run a transactional table service",
		`  mallowlinkctl dev table --listen 127.0.0.1:7001
  curl 'http://127.0.0.1:7001/v1/rows?prefix=lease/'
  curl -d '{"kind":"outage"}' http://127.0.0.1:7001/faults`,
		func() (http.Handler, error) { return table.New(), nil })
}

func newObjectsCommand() *cobra.Command {
	return newStandIn("objects", "Run an object store",
		`  mallowlinkctl dev objects --listen 127.0.0.1:7002
  curl -H 'If-None-Match: *' -T a.txt http://127.0.0.1:7002/v1/objects/a.txt`,
		func() (http.Handler, error) { return object.New(), nil })
}

func newVMListCommand() *cobra.Command {
	var opts vmlist.Options
	var vms []string
	cmd := newStandIn("vmlist", "Run a list of VMs",
		`  mallowlinkctl dev vmlist --listen 127.0.0.1:7003 --lag 2s --vm vm1,garia,127.0.0.1:9001
  curl -X PUT -d '{"failure_domain":"garia","peer_address":"127.0.0.1:9002"}' http://127.0.0.1:7003/v1/vms/vm2
  curl -X POST http://127.0.0.1:7003/v1/vms/vm2/leaving
  curl -X DELETE http://127.0.0.1:7003/v1/vms/vm2`,
		func() (http.Handler, error) {
			server := vmlist.New(opts)
			for _, text := range vms {
				vm, err := parseVM(text)
				if err != nil {
					return nil, err
				}
				server.Register(vm)
			}
			return server, nil
		})
	cmd.Flags().DurationVar(&opts.Lag, "lag", 0, "how old the list is when it is read")
	cmd.Flags().StringArrayVar(&vms, "vm", nil, "a VM as id,failure-domain,peer-address; may be repeated")
	return cmd
}

func parseVM(text string) (platform.VM, error) {
	parts := strings.Split(text, ",")
	if len(parts) != 3 {
		return platform.VM{}, errors.Errorf("vm %q is not id,failure-domain,peer-address", text)
	}
	return platform.VM{ID: parts[0], FailureDomain: parts[1], PeerAddress: parts[2]}, nil
}

func newWeightsCommand() *cobra.Command {
	opts := weights.Kolkata()
	cmd := newStandIn("weights", "Run a rate-limited weight store",
		`  mallowlinkctl dev weights --listen 127.0.0.1:7004 --loads-per-second 5 --at-once 2
  curl http://127.0.0.1:7004/stats`,
		func() (http.Handler, error) { return weights.New(opts), nil })
	flags := cmd.Flags()
	flags.Float64Var(&opts.LoadsPerSecond, "loads-per-second", opts.LoadsPerSecond, "transfers started a second; 0 for no bound")
	flags.IntVar(&opts.AtOnce, "at-once", opts.AtOnce, "transfers that may start together")
	flags.DurationVar(&opts.TransferTime, "transfer-time", opts.TransferTime, "time of a transfer at full speed")
	flags.IntVar(&opts.FullSpeed, "full-speed", opts.FullSpeed, "transfers in flight beyond which each takes longer; 0 for no bound")
	return cmd
}

func newEngineCommand() *cobra.Command {
	var opts engine.Options
	cmd := newStandIn("engine", "Run a model engine",
		`  mallowlinkctl dev engine --listen 127.0.0.1:7101 --slots 4 --weights http://127.0.0.1:7004
  curl -d '{"holder":"me","fencing":1,"adapter":"a","version":"1"}' http://127.0.0.1:7101/admin/load
  curl -d '{"model":"a:1","prompt":"hello","max_tokens":4}' http://127.0.0.1:7101/v1/completions
  curl -X POST http://127.0.0.1:7101/restart`,
		func() (http.Handler, error) { return engine.New(opts), nil })
	flags := cmd.Flags()
	flags.IntVar(&opts.Slots, "slots", engine.DefaultSlots, "adapters held at once")
	flags.IntVar(&opts.MaxRunning, "max-running", engine.DefaultMaxRunning, "requests in one batch")
	flags.IntVar(&opts.MaxWaiting, "max-waiting", engine.DefaultMaxWaiting, "requests that wait for the batch")
	flags.DurationVar(&opts.TokenInterval, "token-interval", engine.DefaultTokenInterval, "time between two tokens of a request")
	flags.DurationVar(&opts.PrefillPerKB, "prefill-per-kb", 0, "time to the first token per 1024 bytes of uncached prompt")
	flags.StringVar(&opts.WeightsURL, "weights", "", "base URL of the weight store")
	flags.DurationVar(&opts.LoadTime, "load-time", 0, "time of an adapter load without a weight store")
	flags.DurationVar(&opts.ResumeTimeout, "resume-timeout", engine.DefaultResumeTimeout, "how long a stream without a reader goes on")
	flags.BoolVar(&opts.IgnoreFencing, "ignore-fencing", false, "accept orders with old fencing numbers")
	flags.DurationVar(&opts.ReportLag, "report-lag", 0, "age of load reports")
	flags.DurationVar(&opts.EventLag, "event-lag", 0, "age of cache events when they are shown")
	flags.IntVar(&opts.CachePrefixes, "cache-prefixes", engine.DefaultCachePrefixes, "prompt prefixes that are cached")
	flags.IntVar(&opts.PrefixBytes, "prefix-bytes", engine.DefaultPrefixBytes, "length of prompt by which a prefix is named")
	return cmd
}

func newServiceCommand() *cobra.Command {
	var opts service.Options
	cmd := newStandIn("service", "Run a plain service: asset ledger and booking desk",
		`  mallowlinkctl dev service --listen 127.0.0.1:7201 --delay 5ms
  curl -d '{"tag":"laptop-7","to":"kavi"}' http://127.0.0.1:7201/issues
  curl http://127.0.0.1:7201/ran`,
		func() (http.Handler, error) { return service.New(opts), nil })
	cmd.Flags().DurationVar(&opts.Delay, "delay", 0, "time that a call takes")
	return cmd
}
