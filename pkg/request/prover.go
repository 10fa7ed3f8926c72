package request

import (
	"context"

	"github.com/mallowlink/mallowlink/pkg/ledger"
	"github.com/mallowlink/mallowlink/pkg/result"
	"github.com/mallowlink/mallowlink/pkg/work"
)

// OwnerProver implements the ledger's Prover. It asks the owner that a record names to withdraw the
// attempt.
type OwnerProver struct {
	Directory work.Directory
}

// ProveNotRun reports whether the owner named by holder confirms that the attempt was withdrawn
// before it started. It returns false if another VM, or another incarnation of the same VM, owns the
// group now, because that owner doesn't know what its predecessor ran.
func (p OwnerProver) ProveNotRun(ctx context.Context, holder ledger.Holder) bool {
	vm, owner, err := p.Directory.OwnerOf(holder.Group)
	if err != nil || vm != holder.Owner {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, withdrawTimeout)
	defer cancel()
	outcome, err := owner.Withdraw(ctx, holder.Attempt)
	return err == nil && outcome == result.NotRun
}
