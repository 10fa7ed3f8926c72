package processes

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mallowlink/mallowlink/pkg/ctl/dev/load"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/standin/fault"
)

// TestThreeDaemons takes one fleet through the failure of a VM, a planned stop and an outage of the
// table service. Its parts depend on each other.
func TestThreeDaemons(t *testing.T) {
	if testing.Short() {
		t.Skip("builds and runs processes")
	}
	f := newFleet(t)
	f.awaitAnswers()

	t.Run("the owner's VM fails", func(t *testing.T) {
		owner, others := f.owner("engines")
		report := f.loadDuring(t, others, owner.kill)
		for _, kind := range []load.Kind{load.Interactive, load.Batch} {
			require.NotZero(t, report.Count(kind, "answered"))
			require.Zero(t, report.Count(kind, "refused"), "idempotent work is answered all the same")
			require.Zero(t, report.Count(kind, "failed"))
		}
		require.Zero(t, report.Count(load.Service, "failed"))
		for refusal := range report.Refusals() {
			require.Equal(t, result.MayHaveRun, refusal.Outcome, "%+v", refusal)
		}
		_ = owner.cmd.Wait()
		f.start(owner)
		f.awaitAnswers()
	})

	t.Run("the owner is stopped as planned", func(t *testing.T) {
		owner, others := f.owner("engines")
		report := f.loadDuring(t, others, owner.terminate)
		require.Empty(t, report.Refusals())
		require.NoError(t, owner.cmd.Wait(), "%s", owner.log)
		require.Contains(t, owner.log.String(), "event=drain_ended cut_attempts=0 cut_requests=0")
		f.start(owner)
		f.awaitAnswers()
	})

	t.Run("an entry is stopped as planned", func(t *testing.T) {
		_, others := f.owner("engines")
		stopped := others[0]
		report := f.loadDuring(t, []*process{others[1]}, stopped.terminate)
		require.Empty(t, report.Refusals())
		require.NoError(t, stopped.cmd.Wait(), "%s", stopped.log)
		f.start(stopped)
		f.awaitAnswers()
	})

	t.Run("an entry's VM fails", func(t *testing.T) {
		_, others := f.owner("engines")
		killed := others[0]
		report := f.auditedLoad(t, f.processes, killed.kill)
		for _, kind := range []load.Kind{load.Interactive, load.Batch, load.Service} {
			require.Zero(t, report.Count(kind, "wrong"))
			require.NotZero(t, report.Count(kind, "answered"))
		}
		for refusal := range report.Refusals() {
			require.NotEqual(t, result.NotRun, refusal.Outcome, "%+v", refusal)
		}
		_ = killed.cmd.Wait()
		f.start(killed)
		f.awaitAnswers()
	})

	t.Run("the table service is down", func(t *testing.T) {
		require.NoError(t, f.table.Faults.Put(fault.Fault{Kind: fault.Outage}))
		report := f.loadDuring(t, f.processes, func() {})
		f.table.Faults.ClearAll()
		require.NotZero(t, report.Count(load.Interactive, "answered"))
		require.Zero(t, report.Count(load.Interactive, "refused"))
		require.Zero(t, report.Count(load.Batch, "refused"))
		for refusal := range report.Refusals() {
			require.Equal(t, result.StoreDown, refusal.Code)
			require.Equal(t, result.NotRun, refusal.Outcome)
		}
		f.awaitAnswers()
	})
}
