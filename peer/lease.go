package peer

import (
	"context"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/wire"
)

// Lease sends a lease request to the owner of a suspect. If the owner can't be reached, the lease is
// not granted; one whose return does not arrive expires.
func (n *Node) Lease(ctx context.Context, owner ident.Entry, request crash.LeaseRequest) crash.LeaseReply {
	reply, err := call[crash.LeaseRequest, leaseReply](ctx, n, "lease", owner, leaseKind, request)
	if err != nil {
		n.config.Log.Warn("lease request failed", zap.String("owner", string(owner)), zap.Error(err))
	}
	return reply.Reply
}

func (n *Node) handleLease(_ context.Context, _ wire.Peer, request crash.LeaseRequest) (leaseReply, error) {
	return leaseReply{Reply: n.config.Delegate.HandleLease(request)}, nil
}
