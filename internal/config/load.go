package config

import (
	"path/filepath"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/auburnwinch/auburnwinch/internal/strict"
	"github.com/auburnwinch/auburnwinch/pkg/model"
)

// maxSecretFileSize bounds the size of a secret file; a longer file can't be a secret.
const maxSecretFileSize = 4 << 10

// Load reads and validates the settings of a node and sets defaults; invalid settings are reported as strict.Problems.
// Relative paths in the file are resolved against the directory of the file.
func Load(path string) (*Settings, error) {
	data, err := strict.ReadFile(path, strict.MaxSize)
	if err != nil {
		return nil, eris.Wrap(err, "read the settings; remedy: pass the path of a readable settings file")
	}
	return Parse(path, data)
}

// Parse validates settings that were read from the named file and sets defaults.
func Parse(path string, data []byte) (*Settings, error) {
	var s Settings
	document, err := strict.Decode(path, data, &s)
	if err != nil {
		return nil, err
	}
	if !document.Has("shutdown-timeout") {
		s.ShutdownTimeout = model.Duration(DefaultShutdownTimeout)
	}
	s.setDefaults()
	problems := s.resolveFiles(filepath.Dir(path))
	problems = append(problems, s.problems()...)
	if len(problems) > 0 {
		return nil, document.Locate(problems)
	}
	return &s, nil
}

// resolveFiles reads the secret files and makes paths absolute, relative to the directory of the settings file.
func (s *Settings) resolveFiles(directory string) strict.Problems {
	var problems strict.Problems
	readSecret(&problems, "fleet-secret", directory, &s.FleetSecret, &s.FleetSecretFile)
	readSecret(&problems, "operator-token", directory, &s.OperatorToken, &s.OperatorTokenFile)
	readSecrets(&problems, "accepted-fleet-secret", directory, &s.AcceptedFleetSecrets, s.AcceptedFleetSecretFiles)
	readSecrets(&problems, "accepted-operator-token", directory, &s.AcceptedOperatorTokens, s.AcceptedOperatorTokenFiles)
	if s.TLS != nil {
		for _, path := range []*string{&s.TLS.Certificate, &s.TLS.Key, &s.TLS.Authority} {
			*path = absolute(directory, *path)
		}
	}
	return problems
}

func readSecret(problems *strict.Problems, field, directory string, value, file *string) {
	if *file == "" {
		return
	}
	if *value != "" {
		problems.Add(field+"-file", "keep one of the two fields", "%s is also set", field)
		return
	}
	*file = absolute(directory, *file)
	*value = readSecretFile(problems, field+"-file", *file)
}

// readSecrets appends the secrets in the files to the values.
func readSecrets(problems *strict.Problems, field, directory string, values *[]string, files []string) {
	for i, file := range files {
		files[i] = absolute(directory, file)
		*values = append(*values, readSecretFile(problems, field+"-files["+strconv.Itoa(i)+"]", files[i]))
	}
}

func readSecretFile(problems *strict.Problems, field, file string) string {
	data, err := strict.ReadFile(file, maxSecretFileSize)
	if err != nil {
		problems.Add(field, "create the file or correct the path", "the file can't be read: %v", err)
		return ""
	}
	return strings.TrimSpace(string(data))
}

func absolute(directory, path string) string {
	if path == "" || filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(directory, path)
}
