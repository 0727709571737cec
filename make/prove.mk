# Proof of the promises: histories judged by checkers.

SEEDS ?= 50
FIRST_SEED ?= 1
PROVE_PARALLEL ?= 4

.PHONY: prove mutation

prove: build ## run SEEDS histories of real processes under failures and judge them
	@$(GO) run ./cmd/sesame-prove --seeds $(SEEDS) --first-seed $(FIRST_SEED) --parallel $(PROVE_PARALLEL) --bin $(BIN)

mutation: ## switch off one guard at a time and require a checker to fail
	@$(GO) test -count=1 -tags sesame_mutation -run Mutation -v ./idempotency/...
