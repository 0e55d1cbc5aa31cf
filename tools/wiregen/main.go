// Command wiregen runs a protoc plugin on the files of a schema, as protoc does, which it
// replaces: the module of the tools pins it.
//
// Usage: wiregen PLUGIN PARAMETER DIRECTORY FILE...
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/pluginpb"
)

func main() {
	if err := generate(os.Args[1], os.Args[2], os.Args[3], os.Args[4:]); err != nil {
		fmt.Fprintln(os.Stderr, "wiregen:", err)
		os.Exit(1)
	}
}

// generate writes the files that the plugin generates from those of the schema in the
// directory.
func generate(plugin, parameter, directory string, files []string) error {
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(&protocompile.SourceResolver{ImportPaths: []string{directory}}),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	compiled, err := compiler.Compile(context.Background(), files...)
	if err != nil {
		return err
	}
	request := &pluginpb.CodeGeneratorRequest{Parameter: proto.String(parameter), FileToGenerate: files}
	seen := map[string]bool{}
	var add func(file protoreflect.FileDescriptor)
	add = func(file protoreflect.FileDescriptor) {
		if seen[file.Path()] {
			return
		}
		seen[file.Path()] = true
		for i := range file.Imports().Len() {
			add(file.Imports().Get(i).FileDescriptor)
		}
		request.ProtoFile = append(request.ProtoFile, protoutil.ProtoFromFileDescriptor(file))
	}
	for _, file := range compiled {
		add(file)
	}
	encoded, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	command := exec.Command(plugin)
	command.Stdin, command.Stderr = bytes.NewReader(encoded), os.Stderr
	output, err := command.Output()
	if err != nil {
		return fmt.Errorf("%s: %w", plugin, err)
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("%s: %s", plugin, response.GetError())
	}
	for _, file := range response.GetFile() {
		name := filepath.FromSlash(file.GetName())
		if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
			return err
		}
		if err := os.WriteFile(name, []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
