package operator

import (
	"context"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/environment"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/rollout"
	"github.com/sequoiavalve/sequoiavalve/internal/coordination/store"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// Platform holds the clients of the platform that the commands use.
type Platform struct {
	Heads     store.Rows[environment.Head]
	Moves     store.Rows[rollout.Move]
	Objects   store.Objects
	Instances func(context.Context) ([]model.Instance, error)
}

// Connect returns a client of the platform at the URL.
type Connect func(url string) (*Platform, error)

// movesPrefix returns the prefix of the keys of an environment's moves.
func movesPrefix(environment string) string {
	return "moves/" + environment + "/"
}
