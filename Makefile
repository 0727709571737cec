# Commands of the project. `make help` lists them.

GO ?= go
BIN := $(CURDIR)/bin
GOLANGCI_VERSION := v2.15.0
GOLANGCI := $(BIN)/golangci-lint-$(GOLANGCI_VERSION)
GOPLS_VERSION := v0.23.0
GOPLS := $(BIN)/gopls-$(GOPLS_VERSION)
COMMANDS := sesame-entry sesame-agent sesame-standin sesamectl sesame-demo sesame-prove

.PHONY: help build lint format tools unit test demo clean

help: ## list the commands
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed 's/:.*## /\t/'

build: ## build all programs into bin/
	@mkdir -p $(BIN)
	@for c in $(COMMANDS); do if [ -d cmd/$$c ]; then $(GO) build -o $(BIN)/$$c ./cmd/$$c || exit 1; fi; done

$(GOLANGCI):
	@mkdir -p $(BIN)/install
	@GOBIN=$(BIN)/install $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)
	@mv $(BIN)/install/golangci-lint $(GOLANGCI)

lint: $(GOLANGCI) ## check formatting and run the linter
	@$(GOLANGCI) fmt --diff ./...
	@$(GOLANGCI) run ./...

format: $(GOLANGCI) ## format the code
	@$(GOLANGCI) fmt ./...

$(GOPLS):
	@mkdir -p $(BIN)/install
	@GOBIN=$(BIN)/install $(GO) install golang.org/x/tools/gopls@$(GOPLS_VERSION)
	@mv $(BIN)/install/gopls $(GOPLS)

tools: $(GOLANGCI) $(GOPLS) ## install the linter and gopls (for renaming identifiers) into bin/

unit: ## run all tests with the race detector, then those of memory without it
	@$(GO) test -race -count=1 $${SKIP:+-skip "$$SKIP"} $$($(GO) list ./... | grep -v /crowd$$)
	@$(GO) test -count=1 $${SKIP:+-skip "$$SKIP"} ./crowd

test: lint build unit ## check formatting, run the linter, build and run all tests

demo: build ## demonstrate both example deployments
	@$(BIN)/sesame-demo

clean: ## remove the built files
	@rm -rf $(BIN)

-include make/*.mk
