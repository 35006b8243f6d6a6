package peer

import (
	"context"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/wire"
)

// Lease sends a lease request to the owner of a suspect. If the owner can't be reached, the lease is
// not granted; one whose return does not arrive expires.
func (n *Node) Lease(ctx context.Context, owner ident.Entry, request crash.LeaseRequest) crash.LeaseReply {
	reply, err := n.callOwner(ctx, owner, request)
	if err != nil {
		n.config.Log.Warn("lease request failed", zap.String("owner", string(owner)), zap.Error(err))
	}
	return reply
}

func (n *Node) callOwner(ctx context.Context, owner ident.Entry, request crash.LeaseRequest) (crash.LeaseReply, error) {
	address, ok := n.address(owner)
	if !ok {
		return crash.LeaseReply{}, fault.Newf("lease", KindUnreachable, "no address known for %s", owner)
	}
	reply, err := wire.Call[crash.LeaseRequest, leaseReply](ctx, n.client, address, leaseKind, request)
	if err != nil {
		return crash.LeaseReply{}, fault.Wrap("lease", KindUnreachable, err)
	}
	return reply.Reply, nil
}

func (n *Node) handleLease(_ context.Context, _ wire.Peer, request crash.LeaseRequest) (leaseReply, error) {
	return leaseReply{Reply: n.config.Delegate.HandleLease(request)}, nil
}
