#ifndef COWSLIPLOAD_CHECK_H
#define COWSLIPLOAD_CHECK_H

int ld_check (int argc, char **argv);

#endif
