// Package platformapi defines the API of the platform: a transactional table
// service, an object store, a weight store and a list of live and leaving
// machines. It is plain HTTP with the conditional requests of RFC 9110.
//
//	GET, PUT, DELETE /tables/{table}/rows/{key}   ETag, If-Match, If-None-Match: *
//	GET              /tables/{table}/rows?prefix=  RowList
//	GET, PUT         /objects/{key}                immutable objects; gzip
//	GET              /weights/{name}               429 with Retry-After above the rate limit
//	GET              /instances                    EntryList, which may be stale; gzip
//	PUT, DELETE      /instances/{id}               Entry
//
// A key is one path segment: its slashes are percent-encoded. A request that is
// answered with status 503 and CodeNotApplied, or with any status 4xx, had no effect.
// After any other 5xx, a write may have taken effect.
package platformapi

import (
	"encoding/json"
	"net/url"
)

// Parts of the paths.
const (
	TablesPath    = "/tables/"
	ObjectsPath   = "/objects/"
	WeightsPath   = "/weights/"
	InstancesPath = "/instances"
	rowsSegment   = "/rows"
	prefixQuery   = "prefix"
)

// Gzip is the content coding of answers to GET of objects and of the list of machines,
// if the request accepts it.
const Gzip = "gzip"

// Codes of error answers.
const (
	CodeNotApplied  = "not_applied"  // 503: the request had no effect
	CodeRateLimited = "rate_limited" // 429: the request had no effect
	CodeNotFound    = "not_found"    // 404
	CodeConflict    = "conflict"     // 412, or 409 for an object with another content
	CodeBadRequest  = "bad_request"  // 400
)

// Row is one row of a RowList.
type Row struct {
	Key   string          `json:"key"`
	ETag  string          `json:"etag"`
	Value json.RawMessage `json:"value"`
}

// RowList is the body of a list of rows. Rows are sorted by key.
type RowList struct {
	Rows []Row `json:"rows"`
}

// Problem describes an error.
type Problem struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// ErrorReply is the body of each answer with a status of 400 or above.
type ErrorReply struct {
	Error Problem `json:"error"`
}

// RowPath returns the escaped path of one row.
func RowPath(table, key string) string {
	return ListPath(table) + "/" + url.PathEscape(key)
}

// ListPath returns the escaped path of a table's rows.
func ListPath(table string) string {
	return TablesPath + url.PathEscape(table) + rowsSegment
}

// ListQuery returns the query that lists the rows whose keys have the given prefix.
func ListQuery(prefix string) string {
	return url.Values{prefixQuery: {prefix}}.Encode()
}

// ListPrefix returns the key prefix in the query of a list.
func ListPrefix(query url.Values) string {
	return query.Get(prefixQuery)
}

// ObjectPath returns the escaped path of an object.
func ObjectPath(key string) string {
	return ObjectsPath + url.PathEscape(key)
}

// WeightPath returns the escaped path of a model's weights.
func WeightPath(name string) string {
	return WeightsPath + url.PathEscape(name)
}

// InstancePath returns the escaped path of an entry in the list of machines.
func InstancePath(id string) string {
	return InstancesPath + "/" + url.PathEscape(id)
}

// ValidKey reports whether a key can be used as a path segment. Servers and proxies
// remove the segments "." and "..".
func ValidKey(key string) bool {
	return key != "" && key != "." && key != ".."
}
