package operator

import (
	"errors"
	"io"
	"io/fs"
	"os"

	"github.com/gravitational/trace"

	"github.com/sequoiavalve/sequoiavalve/internal/coordination/environment"
	"github.com/sequoiavalve/sequoiavalve/internal/protocol/envdoc"
	"github.com/sequoiavalve/sequoiavalve/internal/state/model"
)

// inForce is the document in force of an environment.
type inForce struct {
	head   environment.Head
	source []byte
	doc    *model.Document // nil when the environment has none
}

// readInForce reads the document in force.
func (r *invocation) readInForce(p *Platform, name string) (inForce, error) {
	head, err := environment.ReadHead(r.ctx, p.Heads, name)
	if err != nil || head.Generation == 0 {
		return inForce{}, err
	}
	source, err := p.Objects.GetObject(r.ctx, environment.BodyKey(head.Hash))
	if err != nil {
		return inForce{}, trace.Wrap(err, "body of generation %d of environment %s", head.Generation, name)
	}
	if hash := envdoc.Hash(source); hash != head.Hash {
		return inForce{}, trace.Errorf("the body of generation %d has hash %s, the head names %s", head.Generation, hash, head.Hash)
	}
	doc, err := envdoc.Decode(source)
	if err != nil {
		return inForce{}, trace.Errorf("generation %d of environment %s needs another version of svctl: %v", head.Generation, name, err)
	}
	doc.Environment, doc.Generation = name, head.Generation
	return inForce{head: head, source: source, doc: doc}, nil
}

// requireInForce is readInForce, but fails if the environment has no document.
func (r *invocation) requireInForce(p *Platform, name string) (inForce, error) {
	found, err := r.readInForce(p, name)
	if err == nil && found.doc == nil {
		err = trace.BadParameter("environment %s has no document yet; promote one to it first", name)
	}
	return found, err
}

// readFile reads a document file of at most envdoc.MaxBytes.
func readFile(path string) ([]byte, error) {
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, trace.BadParameter("file %q does not exist", path)
	}
	if err != nil {
		return nil, trace.BadParameter("file: %v", err)
	}
	defer func() { _ = file.Close() }()
	source, err := io.ReadAll(io.LimitReader(file, envdoc.MaxBytes+1))
	if err != nil {
		return nil, trace.BadParameter("file: %v", err)
	}
	if len(source) > envdoc.MaxBytes {
		return nil, trace.BadParameter("file %q is larger than %d bytes", path, envdoc.MaxBytes)
	}
	return source, nil
}
