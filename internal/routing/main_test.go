package routing

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain checks that no goroutine is left after the tests.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
