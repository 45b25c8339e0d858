package object

import (
	"crypto/md5"
	"crypto/sha256"
	"encoding/hex"
	"encoding/xml"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxKeys is the maximum number of keys in a page of a listing.
	maxKeys        = 1000
	maxObjectBytes = 64 << 20
)

// Config holds the bucket name and the accepted access key.
type Config struct {
	Bucket string
	// AccessKeyID is the only accepted access key; if empty, all are accepted.
	AccessKeyID string
}

// Bucket holds the objects; it is safe for concurrent use.
type Bucket struct {
	config  Config
	mu      sync.Mutex
	objects map[string]storedObject
}

type storedObject struct {
	data     []byte
	modified time.Time
	etag     string
}

type errorResponse struct {
	XMLName xml.Name `xml:"Error"`
	Code    string
	Message string
}

type listing struct {
	XMLName               xml.Name `xml:"ListBucketResult"`
	Name                  string
	Prefix                string
	KeyCount              int
	MaxKeys               int
	IsTruncated           bool
	NextContinuationToken string `xml:",omitempty"`
	Contents              []listedObject
}

type listedObject struct {
	Key          string
	LastModified string
	ETag         string
	Size         int
}

// New returns an empty bucket.
func New(c Config) *Bucket {
	return &Bucket{config: c, objects: make(map[string]storedObject)}
}

// Keys returns the keys of all objects, sorted.
func (b *Bucket) Keys() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := make([]string, 0, len(b.objects))
	for key := range b.objects {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Operation returns the protocol operation of a request.
func Operation(r *http.Request) string {
	_, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case r.Method == http.MethodGet && key == "":
		return "ListObjectsV2"
	case r.Method == http.MethodGet:
		return "GetObject"
	case r.Method == http.MethodHead:
		return "HeadObject"
	case r.Method == http.MethodPut:
		return "PutObject"
	case r.Method == http.MethodDelete:
		return "DeleteObject"
	default:
		return r.Method
	}
}

// ServeHTTP handles one request of the S3 protocol.
func (b *Bucket) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	bucket, key, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case b.config.AccessKeyID != "" && !strings.Contains(r.Header.Get("Authorization"), "Credential="+b.config.AccessKeyID+"/"):
		writeError(w, http.StatusForbidden, "InvalidAccessKeyId", "The access key does not exist.")
	case bucket != b.config.Bucket:
		writeError(w, http.StatusNotFound, "NoSuchBucket", "The specified bucket does not exist.")
	default:
		b.serve(w, r, key)
	}
}

func (b *Bucket) serve(w http.ResponseWriter, r *http.Request, key string) {
	switch Operation(r) {
	case "ListObjectsV2":
		b.list(w, r)
	case "GetObject", "HeadObject":
		b.get(w, r, key)
	case "PutObject":
		b.put(w, r, key)
	case "DeleteObject":
		b.mu.Lock()
		delete(b.objects, key)
		b.mu.Unlock()
		w.WriteHeader(http.StatusNoContent)
	default:
		writeError(w, http.StatusMethodNotAllowed, "MethodNotAllowed", "The stand-in does not serve this method.")
	}
}

func (b *Bucket) get(w http.ResponseWriter, r *http.Request, key string) {
	b.mu.Lock()
	object, found := b.objects[key]
	b.mu.Unlock()
	if !found {
		writeError(w, http.StatusNotFound, "NoSuchKey", "The specified key does not exist.")
		return
	}
	w.Header().Set("ETag", object.etag)
	w.Header().Set("Last-Modified", object.modified.UTC().Format(http.TimeFormat))
	w.Header().Set("Content-Length", strconv.Itoa(len(object.data)))
	if r.Method == http.MethodGet {
		// The client may have closed the connection.
		_, _ = w.Write(object.data)
	}
}

func (b *Bucket) put(w http.ResponseWriter, r *http.Request, key string) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, "IncompleteBody", "The body could not be read.")
		return
	}
	if strings.Contains(r.Header.Get("Content-Encoding"), "aws-chunked") {
		writeError(w, http.StatusNotImplemented, "NotImplemented", "The stand-in does not decode aws-chunked bodies.")
		return
	}
	sum := sha256.Sum256(data)
	if declared := r.Header.Get("X-Amz-Content-Sha256"); len(declared) == 2*len(sum) && declared != hex.EncodeToString(sum[:]) {
		writeError(w, http.StatusBadRequest, "XAmzContentSHA256Mismatch", "The provided hash does not match the content.")
		return
	}
	tag := md5.Sum(data)
	object := storedObject{data: data, modified: time.Now(), etag: `"` + hex.EncodeToString(tag[:]) + `"`}
	b.mu.Lock()
	b.objects[key] = object
	b.mu.Unlock()
	w.Header().Set("ETag", object.etag)
}

func (b *Bucket) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	limit := maxKeys
	if text := query.Get("max-keys"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			writeError(w, http.StatusBadRequest, "InvalidArgument", "max-keys is not a number.")
			return
		}
		limit = min(n, maxKeys)
	}
	page := listing{Name: b.config.Bucket, Prefix: query.Get("prefix"), MaxKeys: limit}
	after := max(query.Get("continuation-token"), query.Get("start-after"))
	for _, key := range b.Keys() {
		if !strings.HasPrefix(key, page.Prefix) || key <= after {
			continue
		}
		if len(page.Contents) == limit {
			page.IsTruncated = true
			if limit > 0 {
				page.NextContinuationToken = page.Contents[limit-1].Key
			}
			break
		}
		page.Contents = append(page.Contents, b.listEntry(key))
	}
	page.KeyCount = len(page.Contents)
	writeXML(w, http.StatusOK, page)
}

func (b *Bucket) listEntry(key string) listedObject {
	b.mu.Lock()
	defer b.mu.Unlock()
	object := b.objects[key]
	return listedObject{Key: key, LastModified: object.modified.UTC().Format(time.RFC3339), ETag: object.etag, Size: len(object.data)}
}

func writeError(w http.ResponseWriter, status int, code, message string) {
	writeXML(w, status, errorResponse{Code: code, Message: message})
}

func writeXML(w http.ResponseWriter, status int, value any) {
	body, err := xml.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/xml")
	w.WriteHeader(status)
	// The client may have closed the connection.
	_, _ = w.Write(append([]byte(xml.Header), body...))
}
