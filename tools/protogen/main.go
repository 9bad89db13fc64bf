// Command protogen generates Go code from the .proto files. It needs no installed protoc.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

const modulePrefix = "github.com/azuretiller/azuretiller/"

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: protogen PROTO_DIR ROOT_DIR")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func run(source, root string) error {
	paths, err := filepath.Glob(filepath.Join(source, "*.proto"))
	if err != nil {
		return fmt.Errorf("list .proto files: %w", err)
	}
	names := make([]string, 0, len(paths))
	for _, path := range paths {
		names = append(names, filepath.Base(path))
	}
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{source}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), names...)
	if err != nil {
		return fmt.Errorf("compile .proto files: %w", err)
	}
	request := &pluginpb.CodeGeneratorRequest{FileToGenerate: names}
	descriptors := make([]*descriptorpb.FileDescriptorProto, 0, len(files))
	for _, file := range files {
		descriptors = append(descriptors, protodesc.ToFileDescriptorProto(file))
	}
	request.ProtoFile = descriptors
	plugin, err := protogen.Options{}.New(request)
	if err != nil {
		return fmt.Errorf("create generator: %w", err)
	}
	for _, file := range plugin.Files {
		if file.Generate {
			internal_gengo.GenerateFile(plugin, file)
		}
	}
	return write(plugin.Response(), root)
}

func write(response *pluginpb.CodeGeneratorResponse, root string) error {
	for _, file := range response.File {
		path := filepath.Join(root, strings.TrimPrefix(file.GetName(), modulePrefix))
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			return fmt.Errorf("create directory: %w", err)
		}
		if err := os.WriteFile(path, []byte(file.GetContent()), 0o644); err != nil {
			return fmt.Errorf("write generated code: %w", err)
		}
	}
	return nil
}
