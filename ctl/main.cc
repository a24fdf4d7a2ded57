#include <iostream>

#include "ctl/command_line.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return rattanramp::ctl::RunCommandLine(arguments, std::cout, std::cerr);
}
