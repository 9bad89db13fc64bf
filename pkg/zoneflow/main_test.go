package zoneflow_test

import (
	"os"
	"testing"

	"github.com/azuretiller/azuretiller/pkg/randomtest"
)

func TestMain(m *testing.M) { os.Exit(randomtest.Main(m)) }
