package adminapi

import (
	"context"

	"applequay/internal/controlplane/controller"
	"applequay/internal/controlplane/eventloop"
	"applequay/internal/controlplane/register"
)

// Policies is the register of the policy, for those who serve operators in
// another way than this package.
type Policies struct{ Control *eventloop.Loop }

// Read reads the newest policy at a majority.
//
//	outcome := adminapi.Policies{Control: control}.Read(ctx)
func (p Policies) Read(ctx context.Context) register.Outcome {
	return p.Control.Read(ctx, controller.PolicyKey)
}

// Change makes the body the policy of the version next, where the version is the
// expected one; a name that was taken already is acknowledged again.
//
//	outcome := adminapi.Policies{Control: control}.Change(ctx, 5, 7, body, name)
func (p Policies) Change(ctx context.Context, expected, next int64, body []byte, name string) register.Outcome {
	return p.Control.Change(ctx, eventloop.Write{Key: controller.PolicyKey, Expected: expected, Next: next, Body: body, Name: name, Again: true})
}

// Fared tells by what a read found what became of a change that may have been
// sent before, here or at other nodes.
//
//	outcome := adminapi.Policies{}.Fared(found, 5, 7, name)
func (p Policies) Fared(found register.Outcome, expected, next int64, name string) register.Outcome {
	found.Fate = register.Fared(found.Value, register.Write{Expected: expected, Next: next, Name: name})
	return found
}
