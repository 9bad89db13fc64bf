package connlimit

import (
	"testing"

	"github.com/azuretiller/azuretiller/pkg/randomtest"
)

func TestMain(m *testing.M) { randomtest.Main(m) }
