package platform

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strconv"
	"strings"

	"github.com/sequoiavalve/sequoiavalve/internal/protocol/platformapi"
	"github.com/sequoiavalve/sequoiavalve/internal/state/lock"
	"github.com/sequoiavalve/sequoiavalve/internal/transport/standin"
)

// row is the content of one row.
type row struct {
	etag  string
	value []byte
}

// data holds the tables and objects. mu has standin.RankData and guards the
// other fields.
//
// Invariant: no two contents of a row ever have the same entity tag, so
// the tag of a deleted row never matches the row that is inserted in its place.
type data struct {
	mu       lock.Mutex
	tables   map[string]map[string]row
	objects  map[string][]byte
	revision uint64
}

func newData() *data {
	return &data{
		mu:      lock.New(standin.RankData),
		tables:  map[string]map[string]row{},
		objects: map[string][]byte{},
	}
}

// get returns one row.
func (d *data) get(table, key string) (row, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	got, ok := d.tables[table][key]
	return got, ok
}

// put writes a row if the precondition holds. It returns the new entity tag
// and whether the row is new; the tag is empty if the precondition fails.
func (d *data) put(table, key string, value []byte, cond precondition) (etag string, inserted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, exists := d.tables[table][key]
	if !cond.holds(old, exists) {
		return "", false
	}
	if d.tables[table] == nil {
		d.tables[table] = map[string]row{}
	}
	d.revision++
	etag = strconv.Quote(strconv.FormatUint(d.revision, 10))
	d.tables[table][key] = row{etag: etag, value: bytes.Clone(value)}
	return etag, !exists
}

// remove deletes a row if the precondition holds. It returns whether the
// precondition held and whether the row existed.
func (d *data) remove(table, key string, cond precondition) (matched, existed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old, exists := d.tables[table][key]
	if !cond.holds(old, exists) {
		return false, exists
	}
	delete(d.tables[table], key)
	return true, exists
}

// list returns the rows whose keys start with the prefix, sorted by key.
func (d *data) list(table, prefix string) []platformapi.Row {
	d.mu.Lock()
	rows := []platformapi.Row{}
	for key, row := range d.tables[table] {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, platformapi.Row{Key: key, ETag: row.etag, Value: json.RawMessage(row.value)})
		}
	}
	d.mu.Unlock()
	slices.SortFunc(rows, func(a, b platformapi.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// object returns an object's body.
func (d *data) object(key string) ([]byte, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	body, ok := d.objects[key]
	return body, ok
}

// putObject stores an object and reports false if it exists with another body.
func (d *data) putObject(key string, body []byte) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if old, ok := d.objects[key]; ok {
		return bytes.Equal(old, body)
	}
	d.objects[key] = bytes.Clone(body)
	return true
}

func objectETag(body []byte) string {
	sum := sha256.Sum256(body)
	return strconv.Quote(hex.EncodeToString(sum[:]))
}
