# Completion of berylwharf for bash. Load it with: source <(berylwharf completion bash)
_berylwharf() {
  local words=("${COMP_WORDS[@]:1:COMP_CWORD-1}")
  COMPREPLY=($(compgen -W "$(berylwharf "${words[@]}" --generate-bash-completion 2>/dev/null)" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _berylwharf berylwharf
