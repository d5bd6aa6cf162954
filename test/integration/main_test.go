package integration

import (
	"testing"

	"github.com/peppertrail/peppertrail/test/harness"
)

func TestMain(m *testing.M) { harness.Main(m) }
