package program

import (
	"os"
)

// Check reads a configuration file and returns all of its faults. The error says that it could not be read at all.
func Check(path string) ([]error, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var c Config
	if _, err := c.parse(text); err != nil {
		return []error{err}, nil
	}
	return nil, nil
}
