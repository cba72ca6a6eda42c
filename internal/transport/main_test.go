package transport

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if the tests leave goroutines behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
