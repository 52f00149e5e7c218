#compdef berylwharf
# Completion of berylwharf for zsh. Load it with: source <(berylwharf completion zsh)
_berylwharf() {
  local -a answers
  answers=(${(f)"$(berylwharf ${words[2,CURRENT-1]} --generate-bash-completion 2>/dev/null)"})
  compadd -a answers || _files
}
compdef _berylwharf berylwharf
