package strict

import (
	"fmt"
	"io"
	"os"
)

// ReadFile reads a file of at most limit bytes; it fails on a larger file, including endless ones such as devices.
func ReadFile(path string, limit int64) (data []byte, err error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	// The file is only read, so an error from Close carries no information.
	defer func() { _ = file.Close() }()
	data, err = io.ReadAll(io.LimitReader(file, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, fmt.Errorf("%s is larger than %d bytes", path, limit)
	}
	return data, nil
}
