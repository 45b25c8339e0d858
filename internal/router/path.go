package router

import "strings"

// validPath reports whether the path is absolute and free of dot segments, because a target that resolves dot segments
// would serve a path of another route.
func validPath(path string) bool {
	if path == "" || path[0] != '/' {
		return false
	}
	for i := 0; i < len(path); {
		at := strings.Index(path[i:], "/.")
		if at < 0 {
			return true
		}
		rest := path[i+at+2:]
		if rest == "" || rest[0] == '/' || rest == "." || strings.HasPrefix(rest, "./") {
			return false
		}
		i += at + 2
	}
	return true
}

func trimSlash(path string) string {
	return strings.TrimSuffix(path, "/")
}

// cutDepth returns at most the first depth segments of the path, without a trailing slash.
func cutDepth(path string, depth int) string {
	at := 0
	for range depth {
		next := strings.IndexByte(path[at+1:], '/')
		if next < 0 {
			return trimSlash(path)
		}
		at += next + 1
	}
	return path[:at]
}

// hostName returns the host in lower case, without port and trailing dot.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}
