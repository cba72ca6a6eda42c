package operator

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a test leaves goroutines running.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
